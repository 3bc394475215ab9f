package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * A supervisor's knowledge of one database.
 *
 * @param status latest status report by request time, empty before the first one
 * @param lastReplyAt time at which the last reply arrived, empty before the first one
 * @param replyIntervals intervals between its replies
 * @param pollSentAt time at which the outstanding status request was sent, empty if none is outstanding
 * @param pollNumber sequence number of the last polling request
 * @param followSentAt time at which it was last told to follow the primary, empty if never
 */
public record DatabaseState(
        Optional<BackendStatus> status,
        Optional<Instant> lastReplyAt,
        ReplyIntervals replyIntervals,
        Optional<Instant> pollSentAt,
        long pollNumber,
        Optional<Instant> followSentAt) {
    /** A database that has not been polled yet. */
    public static final DatabaseState UNKNOWN = new DatabaseState(
            Optional.empty(), Optional.empty(), ReplyIntervals.INITIAL, Optional.empty(), 0, Optional.empty());

    DatabaseState withReply(BackendStatus report, Instant now) {
        boolean newest = status.map(known -> !report.requestSentAt().isBefore(known.requestSentAt()))
                .orElse(true);
        ReplyIntervals newIntervals = lastReplyAt
                .map(last -> replyIntervals.observe(Duration.between(last, now)))
                .orElse(replyIntervals);
        return new DatabaseState(
                newest ? Optional.of(report) : status,
                Optional.of(now),
                newIntervals,
                pollSentAt,
                pollNumber,
                followSentAt);
    }

    DatabaseState withPollSent(Instant sentAt) {
        return new DatabaseState(
                status, lastReplyAt, replyIntervals, Optional.of(sentAt), pollNumber + 1, followSentAt);
    }

    /**
     * Only the reply to the last request completes the poll. Otherwise a late reply would start a second polling loop.
     */
    DatabaseState withPollAnswered(long answeredPoll) {
        return answeredPoll == pollNumber
                ? new DatabaseState(status, lastReplyAt, replyIntervals, Optional.empty(), pollNumber, followSentAt)
                : this;
    }

    DatabaseState withFollowSentAt(Instant sentAt) {
        return new DatabaseState(status, lastReplyAt, replyIntervals, pollSentAt, pollNumber, Optional.of(sentAt));
    }

    boolean hasRepliedWithin(Duration timeout, Instant now) {
        return lastReplyAt
                .map(last -> Duration.between(last, now).compareTo(timeout) <= 0)
                .orElse(false);
    }
}
