package org.geraniumproxy.core.relay;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.pool.PoolLoad;

/** An input of {@link OwnerChannels}. */
public sealed interface OwnerChannelEvent {
    /**
     * A message of an entry VM arrived.
     *
     * @param stream stream on which it arrived
     * @param message the message
     */
    record Received(long stream, RelayMessage message) implements OwnerChannelEvent {}

    /**
     * The pool granted a slot to a channel.
     *
     * @param session session of the channel
     * @param connection id of the connection
     * @param state state of the connection
     * @param load load of the database, empty if it was reported recently
     */
    record SlotGranted(long session, long connection, ConnectionState state, Optional<PoolLoad> load)
            implements OwnerChannelEvent {}

    /**
     * The pool refused a slot to a channel.
     *
     * @param session session of the channel
     * @param reason reason of the refusal
     * @param retryAfter time after which the queue can be expected to accept a request
     * @param load load of the database, empty if it was reported recently
     */
    record SlotRefused(long session, RefusalReason reason, Duration retryAfter, Optional<PoolLoad> load)
            implements OwnerChannelEvent {}

    /**
     * The pool has neither granted nor refused the request at once.
     *
     * @param session session of the channel
     * @param load load of the database, empty if it was reported recently
     */
    record SlotPending(long session, Optional<PoolLoad> load) implements OwnerChannelEvent {}

    /**
     * The database has answered all commands of a channel.
     *
     * @param session session of the channel
     * @param encoded replies in the protocol of the database
     * @param load load of the database, empty if it was reported recently
     */
    record Answered(long session, ByteBuffer encoded, Optional<PoolLoad> load) implements OwnerChannelEvent {}

    /**
     * The connection of a channel was lost.
     *
     * @param session session of the channel
     * @param reason cause, for the log
     */
    record ConnectionLost(long session, String reason) implements OwnerChannelEvent {}

    /**
     * A stream ended.
     *
     * @param stream the stream
     */
    record StreamEnded(long stream) implements OwnerChannelEvent {}

    /**
     * The ownership changed, or this VM begins to stop.
     *
     * @param owned databases of which this VM owns connections
     * @param stopping whether this VM stops
     */
    record RolesChanged(Set<BackendServerName> owned, boolean stopping) implements OwnerChannelEvent {
        /** Copies the set. */
        public RolesChanged {
            owned = Set.copyOf(owned);
        }
    }
}
