package org.geraniumproxy.engine.traffic;

import java.util.List;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.pool.SlotRequest;

/**
 * Connections of callers' sessions to one database: this VM's own ones and those of other VMs.
 *
 * @param own connections of this VM
 * @param relayed connections of other VMs
 * @param database name of the database
 * @param candidates VMs to ask for a connection; empty if this VM uses its own ones
 */
record DatabaseConnections(
        DatabaseConnectionPool own, RelayedConnections relayed, BackendServerName database, List<VmName> candidates)
        implements ConnectionSource {
    @Override
    public void requestSlot(SlotRequest request, long session) {
        boolean isHandled = request.holdsConnection() && relayed.requestSlotOfChannel(request, session, database);
        if (isHandled) {
            return;
        }
        if (request.holdsConnection() || candidates.isEmpty() || own.isRemoved()) {
            own.requestSlot(request, session);
        } else {
            relayed.requestSlot(request, session, database, candidates);
        }
    }

    @Override
    public void cancelRequest(long slotRequestId) {
        if (relayed.isRelayedRequest(slotRequestId)) {
            relayed.cancelRequest(slotRequestId);
        } else {
            own.cancelRequest(slotRequestId);
        }
    }

    @Override
    public boolean confirmGrant(long slotRequestId) {
        return relayed.isRelayedRequest(slotRequestId)
                ? relayed.confirmGrant(slotRequestId)
                : own.confirmGrant(slotRequestId);
    }

    @Override
    public void releaseSlot(long slotRequestId) {
        if (relayed.isRelayedRequest(slotRequestId)) {
            relayed.releaseSlot(slotRequestId);
        } else {
            own.releaseSlot(slotRequestId);
        }
    }

    @Override
    public void send(long connectionId, List<BackendCommand> commands, boolean endsSlot) {
        if (relayed.isRelayedConnection(connectionId)) {
            relayed.send(connectionId, commands, endsSlot);
        } else {
            own.send(connectionId, commands, endsSlot);
        }
    }

    @Override
    public void releaseConnection(long connectionId, boolean rollback) {
        if (relayed.isRelayedConnection(connectionId)) {
            relayed.releaseConnection(connectionId, rollback);
        } else {
            own.releaseConnection(connectionId, rollback);
        }
    }

    @Override
    public void closeConnection(long connectionId) {
        if (relayed.isRelayedConnection(connectionId)) {
            relayed.closeConnection(connectionId);
        } else {
            own.closeConnection(connectionId);
        }
    }
}
