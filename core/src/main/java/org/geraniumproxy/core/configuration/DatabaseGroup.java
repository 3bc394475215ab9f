package org.geraniumproxy.core.configuration;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;

/**
 * A primary database and its replicas.
 *
 * @param name unique name in the configuration
 * @param backendServers the databases, at least one
 * @param slots concurrent statements per database, at least one
 * @param connections connections that one database accepts, at least three
 * @param standbyConnections connections per database that are reserved for the standby coordinator, at least one and
 *     less than half of {@code connections}
 */
public record DatabaseGroup(
        GroupName name, List<BackendServer> backendServers, int slots, int connections, int standbyConnections) {
    /**
     * Copies the backend servers and validates the limits.
     *
     * @throws IllegalArgumentException if there is no backend server or a limit is out of range
     */
    public DatabaseGroup {
        backendServers = List.copyOf(backendServers);
        if (backendServers.isEmpty()) {
            throw new IllegalArgumentException("group has no backend server: " + name);
        }
        if (slots < 1) {
            throw new IllegalArgumentException("group needs at least one slot: " + name);
        }
        if (standbyConnections < 1 || standbyConnections * 2 >= connections) {
            throw new IllegalArgumentException("standby connections must be from 1 to less than half of the "
                    + connections + " connections of group " + name);
        }
    }

    /**
     * Returns the number of databases that form a majority.
     *
     * @return the smallest number above half of the databases
     */
    public int majoritySize() {
        return backendServers.size() / 2 + 1;
    }

    /**
     * Finds a backend server by name.
     *
     * @param backendServer name of the backend server
     * @return the backend server, or empty if the group has none of that name
     */
    public Optional<BackendServer> findBackendServer(BackendServerName backendServer) {
        return backendServers.stream()
                .filter(candidate -> candidate.name().equals(backendServer))
                .findFirst();
    }
}
