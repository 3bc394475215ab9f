package org.geraniumproxy.core.relay;

import java.time.Instant;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.SlotRequest;

/** An action that the adapter carries out for {@link EntryChannels}. */
public sealed interface EntryChannelEffect {
    /**
     * Sends a message, on a new stream if there is none.
     *
     * @param owner receiver
     * @param message the message
     */
    record Send(VmName owner, RelayMessage message) implements EntryChannelEffect {}

    /**
     * Tells a session that it has a slot and a connection.
     *
     * @param request the slot request
     * @param channel number of the channel, which identifies the connection
     * @param state state of the connection
     */
    record Grant(SlotRequest request, long channel, ConnectionState state) implements EntryChannelEffect {}

    /**
     * Requests the slot from this VM's own connections. Nothing was sent to the database.
     *
     * @param request the slot request
     */
    record UseOwnConnections(SlotRequest request) implements EntryChannelEffect {}

    /**
     * Tells a session that its request was refused. Nothing was sent to the database.
     *
     * @param request the slot request
     * @param reason reason for the session and the log
     * @param retryOnOtherDatabase whether the statement may be placed again
     */
    record Refuse(SlotRequest request, String reason, boolean retryOnOtherDatabase) implements EntryChannelEffect {}

    /**
     * Passes a part of the replies to the session.
     *
     * @param request slot request for which the commands were sent
     * @param replies message of the owner
     */
    record DeliverReplies(SlotRequest request, RelayMessage.Replies replies) implements EntryChannelEffect {}

    /**
     * Tells a session that its connection is lost. The session knows whether it has handed over a statement, and so
     * whether that wasn't sent or its outcome is unknown.
     *
     * @param request last slot request of the session
     * @param channel number of the channel
     * @param byDatabase whether the database closed the connection; otherwise the owner or the way to it failed
     */
    record LoseConnection(SlotRequest request, long channel, boolean byDatabase) implements EntryChannelEffect {}

    /**
     * Delivers {@link EntryChannelEvent.TimePassed} at a time.
     *
     * @param at the time
     */
    record WakeAt(Instant at) implements EntryChannelEffect {}

    /**
     * Logs and counts a change of the path.
     *
     * @param decision the decision
     * @param detail its inputs as key-value pairs
     */
    record Log(String decision, String detail) implements EntryChannelEffect {}
}
