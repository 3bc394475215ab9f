package org.geraniumproxy.core.configuration;

import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;
import org.geraniumproxy.core.identity.VmName;

/** How far an accepted revision has spread. */
public sealed interface RolloutStatus {
    /**
     * Too few voters hold the revision, so that it could still be unknown to the fleet if the store failed.
     *
     * @param updatedVoters number of voters that hold it
     * @param requiredVoters number of voters that form a majority
     * @param missingVoters voters that have not reported it
     */
    record AwaitingMajority(int updatedVoters, int requiredVoters, SortedSet<VmName> missingVoters)
            implements RolloutStatus {
        /** Copies the set. */
        public AwaitingMajority {
            missingVoters = new TreeSet<>(missingVoters);
        }
    }

    /**
     * A majority of the voters holds the revision, and some live VMs don't have it in force yet.
     *
     * @param missingVms the live VMs that have not reported it
     */
    record AwaitingVms(SortedSet<VmName> missingVms) implements RolloutStatus {
        /** Copies the set. */
        public AwaitingVms {
            missingVms = new TreeSet<>(missingVms);
        }
    }

    /**
     * The revision is in force on every live VM.
     *
     * @param downVms VMs of the roster that did not answer and that no VM considers live
     */
    record InForce(SortedSet<VmName> downVms) implements RolloutStatus {
        /** Copies the set. */
        public InForce {
            downVms = new TreeSet<>(downVms);
        }
    }

    /**
     * Judges how far a revision has spread.
     *
     * @param revision the revision
     * @param voters the voters
     * @param vms all VMs of the roster
     * @param reports what the VMs have answered, at most one report for each VM
     * @return the status
     */
    static RolloutStatus evaluate(long revision, Set<VmName> voters, Set<VmName> vms, Set<VmReport> reports) {
        return RolloutEvaluator.evaluate(revision, voters, vms, reports);
    }
}
