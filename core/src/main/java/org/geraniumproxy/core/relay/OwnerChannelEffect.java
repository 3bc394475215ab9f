package org.geraniumproxy.core.relay;

import java.nio.ByteBuffer;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.pool.SlotRequest;

/** An action that the adapter carries out for {@link OwnerChannels}. */
public sealed interface OwnerChannelEffect {
    /**
     * Sends a message to an entry VM.
     *
     * @param stream stream of the entry VM
     * @param message the message
     */
    record Send(long stream, RelayMessage message) implements OwnerChannelEffect {}

    /**
     * Requests a slot from the pool of a database.
     *
     * @param database name of the database
     * @param request the slot request
     */
    record RequestSlot(BackendServerName database, SlotRequest request) implements OwnerChannelEffect {}

    /**
     * Withdraws a slot request, or gives back a slot that was granted meanwhile.
     *
     * @param database name of the database
     * @param slotRequestId id of the slot request
     */
    record CancelRequest(BackendServerName database, long slotRequestId) implements OwnerChannelEffect {}

    /**
     * Ends a slot. The channel keeps its connection.
     *
     * @param database name of the database
     * @param slotRequestId id of the slot request
     */
    record ReleaseSlot(BackendServerName database, long slotRequestId) implements OwnerChannelEffect {}

    /**
     * Sends commands to a database.
     *
     * @param database name of the database
     * @param connection id of the connection
     * @param replies number of replies that the database will send
     * @param encoded commands in the protocol of the database
     */
    record SendToDatabase(BackendServerName database, long connection, int replies, ByteBuffer encoded)
            implements OwnerChannelEffect {}

    /**
     * Returns a connection to the pool.
     *
     * @param database name of the database
     * @param connection id of the connection
     * @param state state of the connection
     * @param rollback whether a transaction must be rolled back first
     */
    record ReturnConnection(BackendServerName database, long connection, ConnectionState state, boolean rollback)
            implements OwnerChannelEffect {}

    /**
     * Closes a connection whose state is unknown.
     *
     * @param database name of the database
     * @param connection id of the connection
     */
    record CloseConnection(BackendServerName database, long connection) implements OwnerChannelEffect {}
}
