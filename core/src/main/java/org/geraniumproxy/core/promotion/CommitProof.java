package org.geraniumproxy.core.promotion;

import org.geraniumproxy.core.identity.LogPosition;

/** Evidence that the log of a candidate holds every commit that the old primary has acknowledged or can acknowledge. */
public sealed interface CommitProof {
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

    /** All replicas that may confirm a commit have stopped, and stay stopped until the promotion takes effect. */
    record ReplicasStopped() implements CommitProof {
        @Override
        public String toString() {
            return "\"replicas stopped\"";
        }
    }

    /**
     * All replicas that may confirm a commit have stopped, but a command without an answer may resume one of them. The
     * old primary must confirm that it has stepped down before the replicas are verified.
     */
    record ReplicasStoppedUntilStepDown() implements CommitProof {
        @Override
        public String toString() {
            return "\"replicas stopped, step-down required\"";
        }
    }
}
