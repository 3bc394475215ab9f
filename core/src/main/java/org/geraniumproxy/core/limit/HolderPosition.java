package org.geraniumproxy.core.limit;

import java.util.List;
import org.geraniumproxy.core.identity.VmName;

/**
 * Position of a VM among the holders of a customer's rate shares.
 *
 * @param holderCount number of holders, zero if the VM is not a holder
 * @param index zero-based position, or -1 if the VM is not a holder
 */
public record HolderPosition(int holderCount, int index) {
    /** Position of a VM that is not a holder. */
    public static final HolderPosition NONE = new HolderPosition(0, -1);

    /**
     * Finds the position of a VM.
     *
     * @param vm the VM
     * @param holders the holders, in the order on which all VMs agree
     * @return its position, {@link #NONE} if it is not a holder
     */
    public static HolderPosition of(VmName vm, List<VmName> holders) {
        int index = holders.indexOf(vm);
        return index < 0 ? NONE : new HolderPosition(holders.size(), index);
    }

    /**
     * Tells whether the VM holds a share.
     *
     * @return true for every position except {@link #NONE}
     */
    public boolean isHolder() {
        return index >= 0;
    }
}
