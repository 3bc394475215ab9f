package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * What a supervisor knows about one database.
 *
 * @param status newest status report, by the time at which it was requested
 * @param heardAt moment at which the last reply arrived
 * @param intervals intervals between its replies
 * @param pollSentAt moment at which the outstanding status request was sent, empty if none is outstanding
 * @param followSentAt moment at which it was last told to follow
 */
public record DatabaseState(
        Optional<BackendStatus> status,
        Optional<Instant> heardAt,
        ReplyIntervals intervals,
        Optional<Instant> pollSentAt,
        Optional<Instant> followSentAt) {
    /** A database that has not been asked yet. */
    public static final DatabaseState UNKNOWN = new DatabaseState(
            Optional.empty(), Optional.empty(), ReplyIntervals.INITIAL, Optional.empty(), Optional.empty());

    DatabaseState heard(BackendStatus report, Instant now) {
        boolean newest = status.map(known -> !report.requestSentAt().isBefore(known.requestSentAt()))
                .orElse(true);
        ReplyIntervals newIntervals = heardAt.map(last -> intervals.observe(Duration.between(last, now)))
                .orElse(intervals);
        return new DatabaseState(
                newest ? Optional.of(report) : status, Optional.of(now), newIntervals, pollSentAt, followSentAt);
    }

    DatabaseState withPollSentAt(Optional<Instant> sentAt) {
        return new DatabaseState(status, heardAt, intervals, sentAt, followSentAt);
    }

    DatabaseState withFollowSentAt(Instant sentAt) {
        return new DatabaseState(status, heardAt, intervals, pollSentAt, Optional.of(sentAt));
    }

    boolean isHeardWithin(Duration timeout, Instant now) {
        return heardAt.map(last -> Duration.between(last, now).compareTo(timeout) <= 0)
                .orElse(false);
    }
}
