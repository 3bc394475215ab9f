package org.geraniumproxy.core.relay;

import java.time.Instant;
import java.util.List;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.SlotRequest;

/**
 * A channel at the entry VM.
 *
 * @param number number of the channel
 * @param owner owner that is asked or grants the connection
 * @param database database that the channel uses
 * @param request last slot request of the session
 * @param otherOwners owners that have not been asked
 * @param phase progress of the request
 * @param requestedAt time at which the owner was asked
 * @param connected whether the channel holds a connection
 * @param state state of the connection when it was granted
 */
record EntryChannel(
        long number,
        VmName owner,
        BackendServerName database,
        SlotRequest request,
        List<VmName> otherOwners,
        Phase phase,
        Instant requestedAt,
        boolean connected,
        ConnectionState state) {
    /** Progress of the last slot request of a channel. */
    enum Phase {
        /** The owner has not responded. */
        REQUESTED,
        /** The request waits in the owner's queue. */
        QUEUED,
        /** The channel has a slot that ends when the session releases it. */
        GRANTED,
        /** The slot ends with the last reply, which has not arrived. */
        ENDING,
        /** The channel holds a connection without a slot. */
        PARKED
    }

    EntryChannel {
        otherOwners = List.copyOf(otherOwners);
    }

    boolean awaitsGrant() {
        return phase == Phase.REQUESTED || phase == Phase.QUEUED;
    }

    EntryChannel with(Phase next) {
        return new EntryChannel(number, owner, database, request, otherOwners, next, requestedAt, connected, state);
    }

    EntryChannel granted(ConnectionState granted) {
        return new EntryChannel(
                number, owner, database, request, otherOwners, Phase.GRANTED, requestedAt, true, granted);
    }

    EntryChannel requestedAgain(SlotRequest next, Instant now) {
        return new EntryChannel(number, owner, database, next, otherOwners, Phase.REQUESTED, now, true, state);
    }
}
