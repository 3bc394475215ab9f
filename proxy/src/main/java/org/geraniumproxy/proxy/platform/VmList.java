package org.geraniumproxy.proxy.platform;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.BackendServerName;

/** The platform's list of running and leaving machines. It is updated with a delay. */
@FunctionalInterface
public interface VmList {
    /**
     * Queries the backend servers that the list marks as leaving.
     *
     * @return names of the leaving backend servers; completes exceptionally if no reply arrives in time
     */
    CompletableFuture<Set<BackendServerName>> leavingBackendServers();
}
