package org.geraniumproxy.core.configuration;

import java.util.Set;
import org.geraniumproxy.core.identity.VmName;

/**
 * What a VM answers about its configuration.
 *
 * @param vm the VM
 * @param revision the revision that it has in force
 * @param liveVms the VMs that it considers live
 */
public record VmReport(VmName vm, long revision, Set<VmName> liveVms) {
    /** Copies the set. */
    public VmReport {
        liveVms = Set.copyOf(liveVms);
    }
}
