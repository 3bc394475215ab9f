package org.geraniumproxy.core.relay;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.PoolLoad;

/**
 * Message on the stream between an entry VM and an owner of database connections. A channel is the use of one
 * connection by one session; the entry VM numbers the channels and never reuses a number.
 */
public sealed interface RelayMessage {
    /**
     * First message of the entry VM on a stream.
     *
     * @param sender the entry VM
     */
    record Hello(VmName sender) implements RelayMessage {}

    /** Asks the other VM whether it still responds. */
    record Ping() implements RelayMessage {}

    /** Answers a {@link Ping}. */
    record Pong() implements RelayMessage {}

    /**
     * Entry VM to owner: requests a slot, with a connection unless the channel holds one.
     *
     * @param channel number of the channel
     * @param database database to use
     * @param customer customer of the statement
     * @param weight weight in the fair queue
     * @param cost cost of the statement
     * @param remaining time after which the request is obsolete
     * @param holdsConnection whether the channel holds a connection
     */
    record Acquire(
            long channel,
            BackendServerName database,
            CustomerName customer,
            int weight,
            double cost,
            Duration remaining,
            boolean holdsConnection)
            implements RelayMessage {}

    /**
     * Entry VM to owner: commands for the database.
     *
     * @param channel number of the channel
     * @param replies number of replies that the database will send
     * @param endsSlot whether the slot ends with the last reply
     * @param encoded commands in the protocol of the database
     */
    record Commands(long channel, int replies, boolean endsSlot, ByteBuffer encoded) implements RelayMessage {}

    /**
     * Entry VM to owner: ends the slot of a channel that keeps its connection.
     *
     * @param channel number of the channel
     */
    record ReleaseSlot(long channel) implements RelayMessage {}

    /**
     * Entry VM to owner: ends the channel and returns its connection.
     *
     * @param channel number of the channel
     * @param changedState state of the connection, empty if it is the state that was granted
     * @param rollback whether a transaction must be rolled back first
     */
    record Release(long channel, Optional<ConnectionState> changedState, boolean rollback) implements RelayMessage {}

    /**
     * Entry VM to owner: withdraws the last {@link Acquire}, whether it was granted meanwhile or not.
     *
     * @param channel number of the channel
     */
    record Cancel(long channel) implements RelayMessage {}

    /**
     * Entry VM to owner: ends the channel and closes its connection, whose state is unknown.
     *
     * @param channel number of the channel
     */
    record Close(long channel) implements RelayMessage {}

    /**
     * Owner to entry VM: the request waits in the queue. Sent only if it isn't granted or refused at once.
     *
     * @param channel number of the channel
     * @param load load of the database, empty if it was reported recently
     */
    record Queued(long channel, Optional<PoolLoad> load) implements RelayMessage {}

    /**
     * Owner to entry VM: the channel has a slot and a connection.
     *
     * @param channel number of the channel
     * @param connection number of the connection at the owner, never reused
     * @param state state of the connection, empty if the channel held it already; a frame also omits a state that the
     *     entry VM knows
     * @param load load of the database, empty if it was reported recently
     */
    record Granted(long channel, long connection, Optional<ConnectionState> state, Optional<PoolLoad> load)
            implements RelayMessage {}

    /**
     * Owner to entry VM: the request is refused. A channel that holds a connection keeps it.
     *
     * @param channel number of the channel
     * @param reason reason of the refusal
     * @param retryAfter time after which the queue can be expected to accept a request
     * @param load load of the database, empty if it was reported recently
     */
    record Refused(long channel, RefusalReason reason, Duration retryAfter, Optional<PoolLoad> load)
            implements RelayMessage {}

    /**
     * Owner to entry VM: replies of the database, in one or more parts.
     *
     * @param channel number of the channel
     * @param last whether the replies to all commands are complete
     * @param encoded replies in the protocol of the database
     * @param load load of the database, empty if it was reported recently
     */
    record Replies(long channel, boolean last, ByteBuffer encoded, Optional<PoolLoad> load) implements RelayMessage {}

    /**
     * Owner to entry VM: the database closed the connection of the channel.
     *
     * @param channel number of the channel
     * @param reason cause, for the log
     */
    record Lost(long channel, String reason) implements RelayMessage {}
}
