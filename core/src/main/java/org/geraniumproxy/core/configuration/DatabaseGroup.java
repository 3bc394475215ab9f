package org.geraniumproxy.core.configuration;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;

/**
 * A group of databases that replicate from one primary.
 *
 * @param name its name
 * @param backendServers its databases, at least one
 * @param slots statements that one database runs at once, at least one
 * @param connections connections that one database accepts, at least two
 * @param standbyConnections connections of each database that the standby coordinator holds, less than half of them
 */
public record DatabaseGroup(
        GroupName name, List<BackendServer> backendServers, int slots, int connections, int standbyConnections) {
    /**
     * Copies the backend servers and validates the figures.
     *
     * @throws IllegalArgumentException if a figure is impossible
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
     * @return more than half of the databases
     */
    public int majoritySize() {
        return backendServers.size() / 2 + 1;
    }

    /**
     * Finds a backend server by name.
     *
     * @param backendServer the name
     * @return the backend server, or empty if it is not in the group
     */
    public Optional<BackendServer> findBackendServer(BackendServerName backendServer) {
        return backendServers.stream()
                .filter(candidate -> candidate.name().equals(backendServer))
                .findFirst();
    }
}
