package org.geraniumproxy.proxy.platform;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.BackendServerName;

/** The platform's list of live and leaving machines, which lags behind. */
@FunctionalInterface
public interface VmList {
    /**
     * Asks for the backend servers that are about to leave.
     *
     * @return their names; completes exceptionally if the list can't be reached in time
     */
    CompletableFuture<Set<BackendServerName>> leavingBackendServers();
}
