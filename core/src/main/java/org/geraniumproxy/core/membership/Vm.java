package org.geraniumproxy.core.membership;

import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.VmName;

/**
 * A member of the roster.
 *
 * @param index number of the VM, unique in the roster, from 0 to 8191
 * @param name name of the VM
 * @param address host and port of its peer service
 * @param region region of the VM
 * @param failureDomain failure domain of the VM
 * @param incarnation number that grows with each start of the VM's process
 * @param leaving whether the VM is shutting down
 */
public record Vm(
        int index,
        VmName name,
        String address,
        RegionName region,
        FailureDomain failureDomain,
        long incarnation,
        boolean leaving) {
    /**
     * Validates the VM.
     *
     * @throws IllegalArgumentException if the index is out of range
     */
    public Vm {
        if (index < 0 || index >= Term.VM_INDEX_COUNT) {
            throw new IllegalArgumentException("VM index must be from 0 to 8191, but is: " + index);
        }
    }
}
