package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;

/** Decides whether a committed write may be acknowledged. */
public final class WriteAcknowledgement {
    /** Maximum age of a report, measured from when its request was sent. */
    public static final Duration REPORT_VALIDITY = Duration.ofMillis(500);

    private WriteAcknowledgement() {}

    /** Result of the evaluation. */
    public enum Decision {
        /** A majority holds the write; it may be acknowledged. */
        ACKNOWLEDGE,
        /** The reports do not show a majority yet. */
        WAIT,
        /** The term of the write was superseded; its outcome remains unknown. */
        SUPERSEDED
    }

    /**
     * Evaluates whether the primary and the replicas that hold the write form a majority. A replica counts only if it
     * replicates under the term of the write; being fenced at that term is not enough.
     *
     * @param group the group
     * @param knownTerm the highest known term of a primary
     * @param statuses the latest status reports
     * @param write term and log position at which the primary committed the write
     * @param now the current time
     * @return the decision
     */
    public static Decision evaluate(
            DatabaseGroup group, Term knownTerm, Collection<BackendStatus> statuses, LogPosition write, Instant now) {
        if (knownTerm.isAfter(write.term())) {
            return Decision.SUPERSEDED;
        }
        long replicas = statuses.stream()
                .filter(status ->
                        group.findBackendServer(status.backendServer()).isPresent())
                .filter(status -> isReplicated(status, write))
                .filter(status -> !now.isAfter(status.requestSentAt().plus(REPORT_VALIDITY)))
                .map(BackendStatus::backendServer)
                .distinct()
                .count();
        return 1 + replicas >= group.majoritySize() ? Decision.ACKNOWLEDGE : Decision.WAIT;
    }

    /**
     * Tells whether a status report proves that a replica holds a write.
     *
     * @param status the report
     * @param write the write
     * @return true if it holds the write under the term in which it was committed
     */
    public static boolean isReplicated(BackendStatus status, LogPosition write) {
        return !status.primary()
                && status.replicatingTerm().equals(write.term())
                && status.fencedTerm().equals(write.term())
                && status.position() >= write.position();
    }
}
