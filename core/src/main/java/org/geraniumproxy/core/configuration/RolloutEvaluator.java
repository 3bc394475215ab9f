package org.geraniumproxy.core.configuration;

import java.util.HashSet;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.VmName;

/** Evaluates which VMs use an accepted revision. */
final class RolloutEvaluator {
    private RolloutEvaluator() {}

    static RolloutStatus evaluate(long revision, Set<VmName> voters, Set<VmName> vms, Set<VmReport> reports) {
        Set<VmName> updatedVms = reports.stream()
                .filter(report -> report.revision() >= revision)
                .map(VmReport::vm)
                .collect(Collectors.toSet());
        SortedSet<VmName> missingVoters = without(voters, updatedVms);
        int updatedVoters = voters.size() - missingVoters.size();
        int requiredVoters = voters.isEmpty() ? 0 : voters.size() / 2 + 1;
        if (updatedVoters < requiredVoters) {
            return new RolloutStatus.AwaitingMajority(updatedVoters, requiredVoters, missingVoters);
        }
        SortedSet<VmName> missingVms = without(vms, updatedVms);
        missingVms.retainAll(liveVms(reports));
        if (!missingVms.isEmpty()) {
            return new RolloutStatus.AwaitingVms(missingVms);
        }
        return new RolloutStatus.InForce(without(vms, updatedVms));
    }

    /** Includes VMs that did not report but that another VM considers live, because they may still serve callers. */
    private static Set<VmName> liveVms(Set<VmReport> reports) {
        Set<VmName> live = new HashSet<>();
        for (VmReport report : reports) {
            live.add(report.vm());
            live.addAll(report.liveVms());
        }
        return live;
    }

    private static SortedSet<VmName> without(Set<VmName> all, Set<VmName> excluded) {
        SortedSet<VmName> remaining = new TreeSet<>(all);
        remaining.removeAll(excluded);
        return remaining;
    }
}
