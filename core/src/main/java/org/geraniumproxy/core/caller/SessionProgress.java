package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/** Progress of the current statement of a session. */
sealed interface SessionProgress {
    /** Returns the name of the progress in log lines. */
    default String name() {
        return switch (this) {
            case Idle _ -> "idle";
            case AwaitingRateToken _ -> "awaiting-rate-token";
            case AwaitingRetry _ -> "awaiting-retry";
            case AwaitingSlot waiting ->
                "awaiting-slot database=" + waiting.placement().database();
            case PreparingConnection preparing ->
                "preparing-connection database=" + preparing.slot().placement().database();
            case RunningStatement running ->
                "running database=" + running.slot().placement().database();
        };
    }

    /** No statement is in progress. */
    record Idle() implements SessionProgress {}

    /**
     * The statement waits for a token of its customer's rate limiter.
     *
     * @param tokenRequestId id of the token request
     */
    record AwaitingRateToken(long tokenRequestId) implements SessionProgress {}

    /**
     * The statement could not run and is placed again later.
     *
     * @param retryAt time of the next placement
     */
    record AwaitingRetry(Instant retryAt) implements SessionProgress {}

    /**
     * The statement waits for a slot of a database.
     *
     * @param placement the chosen database
     * @param slotRequestId id of the slot request
     */
    record AwaitingSlot(Placement placement, long slotRequestId) implements SessionProgress {}

    /**
     * The connection is receiving the session's state; the statement has not been sent.
     *
     * @param slot the slot and its connection
     * @param beginsTransaction whether the last command begins the transaction
     */
    record PreparingConnection(HeldSlot slot, boolean beginsTransaction) implements SessionProgress {}

    /**
     * The statement has been sent and its answer is pending.
     *
     * @param slot the slot and its connection
     */
    record RunningStatement(HeldSlot slot) implements SessionProgress {}

    /**
     * A granted slot with its connection.
     *
     * @param placement the chosen database
     * @param slotRequestId id of the slot request
     * @param connectionId id of the connection
     * @param statementName name of the prepared statement to run, or empty for other statements
     * @param sentAt time at which the last commands were sent
     * @param latestKnownPosition latest confirmed position of the primary at that time, or empty if none was known
     */
    record HeldSlot(
            Placement placement,
            long slotRequestId,
            long connectionId,
            Optional<String> statementName,
            Instant sentAt,
            Optional<LogPosition> latestKnownPosition) {
        HeldSlot withSentAt(Instant now, Optional<LogPosition> latestPosition) {
            return new HeldSlot(placement, slotRequestId, connectionId, statementName, now, latestPosition);
        }
    }
}
