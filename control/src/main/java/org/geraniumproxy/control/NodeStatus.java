package org.geraniumproxy.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.configuration.VmReport;
import org.geraniumproxy.core.identity.VmName;

/**
 * Status that a VM reports.
 *
 * @param vm name of the VM
 * @param configurationRevision revision of its active configuration, zero before the first
 * @param rosterRevision revision of its roster
 * @param viewAge age of its view of configuration and roster, empty if it has none
 * @param ready whether it accepts new requests
 * @param groups groups whose state it knows
 * @param liveVms VMs that it considers live
 */
record NodeStatus(
        VmName vm,
        long configurationRevision,
        long rosterRevision,
        Optional<Duration> viewAge,
        boolean ready,
        List<GroupState> groups,
        Set<VmName> liveVms) {
    /** Copies the collections. */
    NodeStatus {
        groups = List.copyOf(groups);
        liveVms = Set.copyOf(liveVms);
    }

    VmReport toReport() {
        return new VmReport(vm, configurationRevision, liveVms);
    }

    /**
     * State of a group.
     *
     * @param group name of the group
     * @param term number of the term, zero for none
     * @param primary name of the primary, empty string for none
     * @param coordinator name of the coordinator, empty string if unknown
     */
    record GroupState(String group, long term, String primary, String coordinator) {}
}
