package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.balance.ReportedLoad;
import org.geraniumproxy.core.caller.DatabaseLoad;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.VmLocation;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.pool.ConnectionOwnership;
import org.geraniumproxy.core.pool.ConnectionRole;
import org.geraniumproxy.engine.loop.StreamConnection;
import org.geraniumproxy.engine.loop.StreamHandler;

/** Use of database connections by several VMs. All methods must be called on the traffic thread. */
public final class SharedConnections {
    private final TrafficEngine engine;
    private final RelayedConnections relayed;
    private final LentConnections lent;
    private final Map<BackendServerName, ConnectionRole> roles = new HashMap<>();
    private ConnectionOwnership ownership = ConnectionOwnership.alone(VmName.of("unknown"));
    private boolean enabled;
    private Set<VmName> members = Set.of();
    private Map<VmName, VmLocation> locations = Map.of();

    SharedConnections(TrafficEngine engine) {
        this.engine = engine;
        this.relayed = new RelayedConnections(engine);
        this.lent = new LentConnections(engine);
    }

    /**
     * Shares connections with the other VMs of the fleet, all of which must do so. Must be called before the first
     * update. Without this call, each VM uses connections of its own.
     */
    public void enable() {
        enabled = true;
    }

    /**
     * Accepts a stream of another VM that uses the connections of this one.
     *
     * @param stream one-element array that holds the connection after the call
     * @return handler of the stream
     */
    public StreamHandler accept(StreamConnection[] stream) {
        return lent.accept(stream);
    }

    /** Returns the load of the other VMs at a database, empty if its connections are not used through an owner. */
    Optional<ReportedLoad> reportedLoad(BackendServerName database) {
        return relayed.reportedLoad(database);
    }

    /** Sets the margin for the responses of owners; a test on a busy machine needs a long one. */
    void setResponseMargin(Duration margin) {
        relayed.setResponseMargin(margin);
    }

    /** Applies the members of the fleet, before the pools apply new entries of their databases. */
    void updateOwners(TrafficView view, RateOwnership registrations) {
        roles.clear();
        if (!registrations.members().equals(members) || !view.vmLocations().equals(locations)) {
            members = registrations.members();
            locations = view.vmLocations();
            ownership = enabled
                    ? new ConnectionOwnership(registrations.self(), members, locations)
                    : ConnectionOwnership.alone(registrations.self());
        }
        relayed.update(registrations.self(), registrations.addresses());
    }

    /** Ends the lending of connections that this VM doesn't own any more, or of all while it stops. */
    void updateLent(TrafficView view) {
        Set<BackendServerName> owned = new HashSet<>();
        for (GroupDirectory group : view.groups().values()) {
            for (DatabaseEntry entry : group.databases().values()) {
                if (role(entry).isOwner()) {
                    owned.add(entry.name());
                }
            }
        }
        lent.update(owned, view.drain().isPresent());
    }

    /** Returns this VM's part in the use of a database. Computed once, because it hashes the names of members. */
    ConnectionRole role(DatabaseEntry entry) {
        return roles.computeIfAbsent(entry.name(), _ -> ownership.role(entry, engine.connectionLimit(entry.group())));
    }

    /** Returns the connections of callers' sessions to a database. */
    ConnectionSource of(BackendServerName database) {
        DatabaseConnectionPool own = engine.connectionPool(database);
        return new DatabaseConnections(own, relayed, database, role(own.entry()).candidates());
    }

    LentConnections lent() {
        return lent;
    }

    boolean isUnused(DatabaseConnectionPool own) {
        BackendServerName database = own.entry().name();
        return own.isUnused() && !relayed.uses(database) && !lent.uses(database);
    }

    /** Returns the load of a database as observed by this VM, including its use through owners. */
    DatabaseLoad load(DatabaseConnectionPool own) {
        DatabaseLoad direct = own.load();
        if (role(own.entry()).candidates().isEmpty()) {
            return direct;
        }
        BackendServerName database = own.entry().name();
        Set<CustomerName> customers = new HashSet<>(direct.customersWithIdleConnections());
        customers.addAll(relayed.customers(database));
        // The entry VMs count the statements that this VM runs for them.
        int ownStatements = direct.outstandingStatements() - lent.outstandingStatements(database);
        return DatabaseLoad.observed(
                Math.max(0, ownStatements) + relayed.outstandingStatements(database),
                direct.latency(),
                direct.avoidUntil(),
                customers);
    }

    void onTick() {
        relayed.onTick();
        lent.onTick();
    }
}
