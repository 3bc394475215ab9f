package org.geraniumproxy.core.caller;

import java.util.Map;
import org.geraniumproxy.core.balance.LoadReport;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.VmName;

/**
 * Request to a VM for the positions of the primaries that it watches.
 *
 * @param requester VM that asks
 * @param requestId identifier of the request, unique on the requesting VM
 * @param loads load of the databases of these groups by the requester, none for groups that it hasn't used lately
 */
public record PositionRequest(VmName requester, long requestId, Map<BackendServerName, LoadReport> loads) {
    /** Copies the map. */
    public PositionRequest {
        loads = Map.copyOf(loads);
    }
}
