package org.geraniumproxy.core.limit;

import java.util.List;
import org.geraniumproxy.core.identity.VmName;

/**
 * Place of a VM among the holders of a customer.
 *
 * @param holderCount number of holders, zero if there is none
 * @param index place from zero, or -1 if the VM is not a holder
 */
public record HolderPosition(int holderCount, int index) {
    /** Not a holder. */
    public static final HolderPosition NONE = new HolderPosition(0, -1);

    /**
     * Finds the place of a VM.
     *
     * @param vm the VM
     * @param holders the holders in order
     * @return its place
     */
    public static HolderPosition of(VmName vm, List<VmName> holders) {
        int index = holders.indexOf(vm);
        return index < 0 ? NONE : new HolderPosition(holders.size(), index);
    }

    /**
     * Tells whether the VM is a holder.
     *
     * @return true if it is
     */
    public boolean isHolder() {
        return index >= 0;
    }
}
