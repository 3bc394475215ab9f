package org.geraniumproxy.engine.traffic;

import java.util.List;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.pool.SlotRequest;

/** Slots and connections of one database, whether this VM's own or those of another VM. */
interface ConnectionSource {
    /** Requests a slot. The session receives the decision as an event. */
    void requestSlot(SlotRequest request, long session);

    /** Cancels a request for a slot. A slot that was granted meanwhile is given back, with its connection. */
    void cancelRequest(long slotRequestId);

    /** Returns whether a granted slot is still wanted. The session owns it from then on. */
    boolean confirmGrant(long slotRequestId);

    /** Ends the use of a slot. The session keeps its connection. */
    void releaseSlot(long slotRequestId);

    /** Sends commands; the slot may end with the last reply. */
    void send(long connectionId, List<BackendCommand> commands, boolean endsSlot);

    /** Returns a connection, after a rollback if a transaction is open. */
    void releaseConnection(long connectionId, boolean rollback);

    /** Closes a connection whose state is unknown. */
    void closeConnection(long connectionId);
}
