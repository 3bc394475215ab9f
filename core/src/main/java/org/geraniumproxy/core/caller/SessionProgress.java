package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/** How far the statement that a session works on has come. */
sealed interface SessionProgress {
    /** No statement is outstanding. */
    record Idle() implements SessionProgress {}

    /** The operation waits for a token of its customer. */
    record AwaitingRateToken() implements SessionProgress {}

    /**
     * No database can be used; the placement is tried again.
     *
     * @param retryAt moment of the next try
     */
    record AwaitingRetry(Instant retryAt) implements SessionProgress {}

    /**
     * Waits for a slot of a database.
     *
     * @param placement the database
     * @param slotRequestId number of the request for the slot
     */
    record AwaitingSlot(Placement placement, long slotRequestId) implements SessionProgress {}

    /**
     * The connection is brought up to date; the statement has not been sent.
     *
     * @param slot the slot and connection
     * @param beginsTransaction whether the commands begin the transaction
     */
    record PreparingConnection(HeldSlot slot, boolean beginsTransaction) implements SessionProgress {}

    /**
     * The statement has been sent.
     *
     * @param slot the slot and connection
     */
    record RunningStatement(HeldSlot slot) implements SessionProgress {}

    /**
     * A slot with a connection.
     *
     * @param placement the database
     * @param slotRequestId number of the request for the slot
     * @param connectionId number of the connection
     * @param connectionState what the connection knows
     * @param sentAt moment at which the last commands were sent
     * @param latestKnownPosition newest position of the primary that was known at that moment
     */
    record HeldSlot(
            Placement placement,
            long slotRequestId,
            long connectionId,
            ConnectionState connectionState,
            Instant sentAt,
            Optional<LogPosition> latestKnownPosition) {
        HeldSlot withSentAt(Instant now, Optional<LogPosition> latestPosition) {
            return new HeldSlot(placement, slotRequestId, connectionId, connectionState, now, latestPosition);
        }
    }
}
