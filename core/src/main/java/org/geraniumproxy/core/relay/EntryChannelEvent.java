package org.geraniumproxy.core.relay;

import java.util.List;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.SlotRequest;

/** An input of {@link EntryChannels}. */
public sealed interface EntryChannelEvent {
    /**
     * A session requests a slot.
     *
     * @param request the slot request
     * @param channel number of a new channel, or of the channel that the session holds
     * @param database database to use
     * @param owners owners in the order in which they are used
     */
    record Requested(SlotRequest request, long channel, BackendServerName database, List<VmName> owners)
            implements EntryChannelEvent {
        /** Copies the list. */
        public Requested {
            owners = List.copyOf(owners);
        }
    }

    /**
     * A session withdraws a slot request.
     *
     * @param slotRequestId id of the slot request
     */
    record Cancelled(long slotRequestId) implements EntryChannelEvent {}

    /**
     * A session sends commands.
     *
     * @param commands message to the owner
     */
    record CommandsReady(RelayMessage.Commands commands) implements EntryChannelEvent {}

    /**
     * A session ends the use of a slot.
     *
     * @param slotRequestId id of the slot request
     */
    record SlotReleased(long slotRequestId) implements EntryChannelEvent {}

    /**
     * A session returns its connection.
     *
     * @param channel number of the channel
     * @param state state of the connection
     * @param rollback whether a transaction must be rolled back first
     */
    record ConnectionReturned(long channel, ConnectionState state, boolean rollback) implements EntryChannelEvent {}

    /**
     * A session gives up a connection whose state is unknown.
     *
     * @param channel number of the channel
     */
    record ConnectionClosed(long channel) implements EntryChannelEvent {}

    /**
     * A message of an owner arrived.
     *
     * @param owner sender of the message
     * @param message the message
     */
    record Received(VmName owner, RelayMessage message) implements EntryChannelEvent {}

    /**
     * The stream to an owner ended. All its channels ended with it.
     *
     * @param owner the owner
     * @param reason cause, for the log
     */
    record StreamEnded(VmName owner, String reason) implements EntryChannelEvent {}

    /** A scheduled time was reached. */
    record TimePassed() implements EntryChannelEvent {}
}
