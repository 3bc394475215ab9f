package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;

/** Decides whether a committed write may be acknowledged. */
public final class WriteAcknowledgement {
    /** Longest time for which a report counts, from the moment its request was sent. */
    public static final Duration REPORT_VALIDITY = Duration.ofMillis(500);

    private WriteAcknowledgement() {}

    /** Answer of the rule. */
    public enum Decision {
        /** The write is on a majority and may be acknowledged. */
        ACKNOWLEDGE,
        /** Further reports may prove it. */
        WAIT,
        /** The term of the write was replaced; the outcome stays unknown. */
        SUPERSEDED
    }

    /**
     * Applies the rule: with the primary, the databases that report to replicate the write under its own term form a
     * majority. A database that has only been fenced at the term does not count.
     *
     * @param group the group
     * @param knownTerm the highest term of a primary that is known
     * @param statuses the newest reports
     * @param write term and position at which the primary committed the write
     * @param now the present moment
     * @return the verdict
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
     * Tells whether a report proves that a replica holds a write.
     *
     * @param status the report
     * @param write the write
     * @return true if it does
     */
    public static boolean isReplicated(BackendStatus status, LogPosition write) {
        return !status.primary()
                && status.replicatingTerm().equals(write.term())
                && status.fencedTerm().equals(write.term())
                && status.position() >= write.position();
    }
}
