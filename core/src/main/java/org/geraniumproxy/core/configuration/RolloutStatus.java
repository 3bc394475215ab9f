package org.geraniumproxy.core.configuration;

import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.geraniumproxy.core.identity.VmName;

/** Rollout status of an accepted revision. */
public sealed interface RolloutStatus {
    /**
     * Less than a majority of the voters has the revision. If the store failed now, the other VMs might not learn of
     * it.
     *
     * @param updatedVoters number of voters that reported the revision
     * @param requiredVoters number of voters that form a majority
     * @param missingVoters voters that have not reported the revision
     */
    record AwaitingMajority(int updatedVoters, int requiredVoters, SortedSet<VmName> missingVoters)
            implements RolloutStatus {
        /** Copies the set. */
        public AwaitingMajority {
            missingVoters = new TreeSet<>(missingVoters);
        }
    }

    /**
     * A majority of the voters has the revision, but some live VMs don't use it yet.
     *
     * @param missingVms live VMs that have not reported the revision
     */
    record AwaitingVms(SortedSet<VmName> missingVms) implements RolloutStatus {
        /** Copies the set. */
        public AwaitingVms {
            missingVms = new TreeSet<>(missingVms);
        }
    }

    /**
     * Every live VM uses the revision.
     *
     * @param downVms VMs of the roster that did not reply and that no VM considers live
     */
    record InForce(SortedSet<VmName> downVms) implements RolloutStatus {
        /** Copies the set. */
        public InForce {
            downVms = new TreeSet<>(downVms);
        }
    }

    /**
     * Evaluates the rollout of a revision.
     *
     * @param revision the accepted revision
     * @param voters VMs whose majority must have the revision; empty if the roster is empty
     * @param vms all VMs of the roster
     * @param reports replies of the VMs, at most one for each VM
     * @return the rollout status
     */
    static RolloutStatus evaluate(long revision, Set<VmName> voters, Set<VmName> vms, Set<VmReport> reports) {
        return RolloutEvaluator.evaluate(revision, voters, vms, reports);
    }
}
