package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.util.List;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.statement.Statement;

/** An input of the session state machine. */
public sealed interface SessionEvent {
    /**
     * The caller requested a connection.
     *
     * @param database database name that the caller connects to
     * @param key digest of the caller's key
     */
    record ConnectReceived(String database, KeyDigest key) implements SessionEvent {}

    /**
     * The caller sent a statement while no other was in progress.
     *
     * @param requestId identifier that the caller gave the request
     * @param statement the decoded statement
     */
    record StatementReceived(String requestId, Statement statement) implements SessionEvent {}

    /** The caller closed its connection, or the connection was lost. */
    record CallerDisconnected() implements SessionEvent {}

    /**
     * The rate limiter granted a token.
     *
     * @param tokenRequestId id of the token request
     */
    record RateTokenGranted(long tokenRequestId) implements SessionEvent {}

    /**
     * The rate limiter refused a token because the customer is over its rate.
     *
     * @param tokenRequestId id of the token request
     * @param retryAfter expected time until a token is available
     * @param cause which limiter had no token
     */
    record RateTokenRefused(long tokenRequestId, Duration retryAfter, String cause) implements SessionEvent {}

    /**
     * The session was granted a slot.
     *
     * @param slotRequestId id of the slot request
     * @param connectionId id of the connection to use
     * @param connectionState variables and prepared statements of the connection
     */
    record SlotGranted(long slotRequestId, long connectionId, ConnectionState connectionState)
            implements SessionEvent {}

    /**
     * The slot request was refused.
     *
     * @param slotRequestId id of the slot request
     * @param reason reason of the refusal
     * @param retryOnOtherDatabase whether the statement may be placed again
     */
    record SlotRefused(long slotRequestId, String reason, boolean retryOnOtherDatabase) implements SessionEvent {}

    /**
     * The database answered all commands of the last {@link SessionEffect.SendCommands}.
     *
     * @param connectionId id of the connection
     * @param replies one reply per command, in order
     */
    record RepliesReceived(long connectionId, List<BackendReply> replies) implements SessionEvent {
        /** Makes an unmodifiable copy of the replies. */
        public RepliesReceived {
            replies = List.copyOf(replies);
        }
    }

    /**
     * A connection that the session holds was lost.
     *
     * @param connectionId id of the connection
     */
    record ConnectionLost(long connectionId) implements SessionEvent {}

    /** The process is about to end. A statement in progress gets no answer. */
    record ProcessEnding() implements SessionEvent {}

    /** A scheduled time was reached, or the view changed. */
    record TimePassed() implements SessionEvent {}
}
