package org.geraniumproxy.core.promotion;

import java.util.HashSet;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/** Evidence that the log of a candidate holds every commit that the old primary has acknowledged or can acknowledge. */
public sealed interface CommitProof {
    /**
     * Returns the replicas that the proof does not cover, which may have confirmed further commits.
     *
     * @param replicas replicas that may confirm a commit
     * @return replicas that were not counted
     */
    default Set<BackendServerName> uncounted(Set<BackendServerName> replicas) {
        Set<BackendServerName> uncounted = new HashSet<>(replicas);
        switch (this) {
            case PrimarySteppedDown _ -> uncounted.clear();
            case ReplicasStopped stopped -> uncounted.removeAll(stopped.counted());
            case ReplicasStoppedUntilStepDown stopped -> uncounted.removeAll(stopped.counted());
        }
        return uncounted;
    }

    /**
     * The old primary has stepped down, and the log of the candidate reaches its last position. It doesn't matter which
     * replicas confirmed the commits.
     *
     * @param lastPosition last position of the old primary
     */
    record PrimarySteppedDown(LogPosition lastPosition) implements CommitProof {
        @Override
        public String toString() {
            return "\"primary stepped down at " + PromotionChoice.text(lastPosition) + "\"";
        }
    }

    /**
     * All replicas that may confirm a commit have stopped, and stay stopped until the promotion takes effect.
     *
     * @param counted replicas that may confirm a commit
     */
    record ReplicasStopped(Set<BackendServerName> counted) implements CommitProof {
        /** Copies the set. */
        public ReplicasStopped {
            counted = Set.copyOf(counted);
        }

        @Override
        public String toString() {
            return "\"replicas stopped\"";
        }
    }

    /**
     * All replicas that may confirm a commit have stopped, but a command without an answer may resume one of them. The
     * old primary must confirm that it has stepped down before the replicas are verified.
     *
     * @param counted replicas that may confirm a commit
     */
    record ReplicasStoppedUntilStepDown(Set<BackendServerName> counted) implements CommitProof {
        /** Copies the set. */
        public ReplicasStoppedUntilStepDown {
            counted = Set.copyOf(counted);
        }

        @Override
        public String toString() {
            return "\"replicas stopped, step-down required\"";
        }
    }
}
