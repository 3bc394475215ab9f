package org.geraniumproxy.core.relay;

import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.pool.SlotRequest;

/**
 * A channel at the owner.
 *
 * @param key stream and number of the channel
 * @param session session under which the channel requests slots
 * @param database database that the channel uses
 * @param request last slot request
 * @param slot progress of the request
 * @param connection id of the connection, {@link #NO_CONNECTION} if the channel has none
 * @param state state of the connection when it was granted
 * @param used whether commands were sent since the connection was granted
 * @param running whether replies of the database are pending
 */
record OwnerChannel(
        Key key,
        long session,
        BackendServerName database,
        SlotRequest request,
        Slot slot,
        long connection,
        ConnectionState state,
        boolean used,
        boolean running) {
    static final long NO_CONNECTION = 0;

    /** Identifies a channel: a stream and the number that the entry VM chose. */
    record Key(long stream, long channel) {}

    /** Progress of the last slot request. */
    enum Slot {
        WAITING,
        HELD,
        /** Ends with the last reply. */
        ENDING,
        NONE
    }

    boolean hasConnection() {
        return connection != NO_CONNECTION;
    }

    boolean holdsSlot() {
        return slot == Slot.HELD || slot == Slot.ENDING;
    }

    OwnerChannel requesting(SlotRequest next) {
        return new OwnerChannel(key, session, database, next, Slot.WAITING, connection, state, used, running);
    }

    OwnerChannel granted(long grantedConnection, ConnectionState grantedState) {
        ConnectionState known = hasConnection() ? state : grantedState;
        return new OwnerChannel(key, session, database, request, Slot.HELD, grantedConnection, known, used, running);
    }

    OwnerChannel sending(boolean endsSlot) {
        Slot next = endsSlot && holdsSlot() ? Slot.ENDING : slot;
        return new OwnerChannel(key, session, database, request, next, connection, state, true, true);
    }

    OwnerChannel answered() {
        Slot next = slot == Slot.ENDING ? Slot.NONE : slot;
        return new OwnerChannel(key, session, database, request, next, connection, state, used, false);
    }

    OwnerChannel withoutSlot() {
        return new OwnerChannel(key, session, database, request, Slot.NONE, connection, state, used, running);
    }
}
