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
     * @param holding number of voters that hold it
     * @param needed number of voters that form a majority
     * @param missing voters that have not reported it
     */
    record AwaitingMajority(int holding, int needed, SortedSet<VmName> missing) implements RolloutStatus {
        /** Copies the set. */
        public AwaitingMajority {
            missing = new TreeSet<>(missing);
        }
    }

    /**
     * A majority of the voters holds the revision, and some live VMs don't have it in force yet.
     *
     * @param missing the live VMs that have not reported it
     */
    record AwaitingVms(SortedSet<VmName> missing) implements RolloutStatus {
        /** Copies the set. */
        public AwaitingVms {
            missing = new TreeSet<>(missing);
        }
    }

    /**
     * The revision is in force on every live VM.
     *
     * @param down VMs of the roster that did not answer and that no VM considers live
     */
    record InForce(SortedSet<VmName> down) implements RolloutStatus {
        /** Copies the set. */
        public InForce {
            down = new TreeSet<>(down);
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
    static RolloutStatus judge(long revision, Set<VmName> voters, Set<VmName> vms, Set<VmReport> reports) {
        return RolloutJudge.judge(revision, voters, vms, reports);
    }
}
