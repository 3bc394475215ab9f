package org.geraniumproxy.core.configuration;

import java.util.Set;
import org.geraniumproxy.core.identity.VmName;

/**
 * Configuration status that a VM reports.
 *
 * @param vm name of the VM
 * @param revision configuration revision that the VM uses, zero before the first
 * @param liveVms VMs that this VM considers live
 */
public record VmReport(VmName vm, long revision, Set<VmName> liveVms) {
    /** Copies the set. */
    public VmReport {
        liveVms = Set.copyOf(liveVms);
    }
}
