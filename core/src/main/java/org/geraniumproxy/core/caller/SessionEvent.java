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
    record ConnectArrived(String database, KeyDigest key) implements SessionEvent {}

    /**
     * The caller sent a statement. No other is outstanding.
     *
     * @param request the caller's identifier
     * @param statement the statement
     */
    record StatementArrived(String request, Statement statement) implements SessionEvent {}

    /** The caller ended the session or its connection was lost. */
    record CallerLeft() implements SessionEvent {}

    /** The operation is within the customer's rate. */
    record TokenGranted() implements SessionEvent {}

    /**
     * The operation is over the customer's rate.
     *
     * @param retryAfter time after which a token is expected
     */
    record TokenRefused(Duration retryAfter) implements SessionEvent {}

    /**
     * The session may run a statement.
     *
     * @param number number of the request for the slot
     * @param connection the connection to use
     * @param memory what the connection knows
     */
    record SlotGranted(long number, long connection, ConnectionMemory memory) implements SessionEvent {}

    /**
     * The session gets no slot.
     *
     * @param number number of the request for the slot
     * @param reason why
     * @param elsewhere whether another database may still run the statement
     */
    record SlotRefused(long number, String reason, boolean elsewhere) implements SessionEvent {}

    /**
     * All commands of the last batch were answered.
     *
     * @param connection the connection
     * @param replies one reply a command
     */
    record Replied(long connection, List<BackendReply> replies) implements SessionEvent {
        /** Copies the replies. */
        public Replied {
            replies = List.copyOf(replies);
        }
    }

    /**
     * A connection that the session holds was lost.
     *
     * @param connection the connection
     */
    record ConnectionLost(long connection) implements SessionEvent {}

    /** Time has passed or the view has changed. */
    record TimePassed() implements SessionEvent {}
}
