package org.geraniumproxy.core.caller;

import org.geraniumproxy.core.identity.VmName;

/**
 * Request to a VM for the positions of the primaries that it watches.
 *
 * @param requester VM that asks
 * @param requestId identifier of the request, unique on the requesting VM
 */
public record PositionRequest(VmName requester, long requestId) {}
