package org.geraniumproxy.measure.failover;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.protocol.StatusReply;

/**
 * Ends of the phases of a failover, as observed in the store and at the surviving databases.
 *
 * @param recordChangedAt time at which the group record changed
 * @param fencedAt time at which a database was fenced at a later term
 * @param promotedAt time at which a database became primary of a later term
 * @param replicatedAt time at which another database replicated from the new primary
 */
public record FailoverPhases(
        Optional<Instant> recordChangedAt,
        Optional<Instant> fencedAt,
        Optional<Instant> promotedAt,
        Optional<Instant> replicatedAt) {
    /** No phase has been observed. */
    static final FailoverPhases NONE =
            new FailoverPhases(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());

    /** Adds one poll of the group; the first observation of each phase counts. */
    FailoverPhases observe(Instant now, boolean recordChanged, long oldTerm, List<StatusReply> survivors) {
        boolean fenced = survivors.stream().anyMatch(status -> status.getFencedTerm() > oldTerm);
        boolean promoted =
                survivors.stream().anyMatch(status -> status.getPrimary() && status.getReplicatingTerm() > oldTerm);
        boolean replicated = promoted
                && survivors.stream().anyMatch(status -> !status.getPrimary() && status.getReplicatingTerm() > oldTerm);
        return new FailoverPhases(
                firstObservation(recordChangedAt, recordChanged, now),
                firstObservation(fencedAt, fenced, now),
                firstObservation(promotedAt, promoted, now),
                firstObservation(replicatedAt, replicated, now));
    }

    /** Returns the ends of detection, agreement, fencing and catching up; an unobserved phase has no duration. */
    List<Instant> phaseEnds(Instant start) {
        Instant detection = latest(start, recordChangedAt.or(() -> fencedAt));
        Instant agreement = latest(detection, fencedAt);
        Instant fencing = latest(agreement, promotedAt);
        return List.of(detection, agreement, fencing, latest(fencing, replicatedAt));
    }

    boolean isComplete() {
        return promotedAt.isPresent() && replicatedAt.isPresent();
    }

    private static Optional<Instant> firstObservation(Optional<Instant> earlier, boolean observed, Instant now) {
        return earlier.isPresent() || !observed ? earlier : Optional.of(now);
    }

    private static Instant latest(Instant before, Optional<Instant> end) {
        return end.filter(moment -> moment.isAfter(before)).orElse(before);
    }
}
