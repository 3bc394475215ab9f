package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.util.List;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.statement.Statement;

/** What happens to a session. */
public sealed interface SessionEvent {
    /**
     * The caller connects.
     *
     * @param database the database name
     * @param key digest of the caller's key
     */
    record ConnectReceived(String database, KeyDigest key) implements SessionEvent {}

    /**
     * The caller sent a statement. No other is outstanding.
     *
     * @param requestId the caller's identifier
     * @param statement the statement
     */
    record StatementReceived(String requestId, Statement statement) implements SessionEvent {}

    /** The caller ended the session or its connection was lost. */
    record CallerDisconnected() implements SessionEvent {}

    /** The operation is within the customer's rate. */
    record RateTokenGranted() implements SessionEvent {}

    /**
     * The operation is over the customer's rate.
     *
     * @param retryAfter time after which a token is expected
     */
    record RateTokenRefused(Duration retryAfter) implements SessionEvent {}

    /**
     * The session may run a statement.
     *
     * @param slotRequestId number of the request for the slot
     * @param connectionId the connection to use
     * @param connectionState what the connection knows
     */
    record SlotGranted(long slotRequestId, long connectionId, ConnectionState connectionState)
            implements SessionEvent {}

    /**
     * The session gets no slot.
     *
     * @param slotRequestId number of the request for the slot
     * @param reason why
     * @param retryOnOtherDatabase whether another database may still run the statement
     */
    record SlotRefused(long slotRequestId, String reason, boolean retryOnOtherDatabase) implements SessionEvent {}

    /**
     * All commands of the last batch were answered.
     *
     * @param connectionId the connection
     * @param replies one reply a command
     */
    record RepliesReceived(long connectionId, List<BackendReply> replies) implements SessionEvent {
        /** Copies the replies. */
        public RepliesReceived {
            replies = List.copyOf(replies);
        }
    }

    /**
     * A connection that the session holds was lost.
     *
     * @param connectionId the connection
     */
    record ConnectionLost(long connectionId) implements SessionEvent {}

    /** Time has passed or the view has changed. */
    record TimePassed() implements SessionEvent {}
}
