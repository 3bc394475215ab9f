package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.service.ServiceRoute;

/**
 * Where a statement or transaction runs.
 *
 * @param database the database
 * @param primary whether it is chosen as the primary; the answer must then prove that it still leads
 * @param minimumPosition position that a replica's log must have reached; empty at the primary
 */
public record Placement(BackendServerName database, boolean primary, Optional<LogPosition> minimumPosition) {
    /** Reads prefer a replica until it is expected to take this many times as long as the primary. */
    private static final double PRIMARY_COST_FACTOR = 2.0;

    /** Cost of a read that needs a new connection: the slot that the opening takes, and a round trip. */
    private static final Duration NEW_CONNECTION_COST = Duration.ofMillis(40);

    /**
     * Chooses a database.
     *
     * @param route the route
     * @param customer the customer
     * @param mayUseReplica whether the statement or transaction only reads
     * @param lastCommit position of the session's last commit
     * @param excludedDatabases databases that have refused the statement already
     * @param arrivedAt moment at which the statement was read from the caller
     * @param context what may be looked at
     * @return the placement, or empty if no database can be used now
     */
    static Optional<Placement> choose(
            ServiceRoute route,
            CustomerName customer,
            boolean mayUseReplica,
            Optional<LogPosition> lastCommit,
            Set<BackendServerName> excludedDatabases,
            Instant arrivedAt,
            SessionContext context) {
        GroupDirectory group = context.view().directoryOf(route.group());
        Optional<DatabaseEntry> primary = group.primary().filter(entry -> !excludedDatabases.contains(entry.name()));
        Optional<Placement> atPrimary = primary.map(entry -> new Placement(entry.name(), true, Optional.empty()));
        if (!mayUseReplica || route.consistency() == Consistency.PRIMARY) {
            return atPrimary;
        }
        Optional<LogPosition> required = requiredPosition(route, lastCommit, arrivedAt, context);
        if (required.isEmpty()) {
            return atPrimary;
        }
        Placement best = atPrimary.orElse(null);
        double bestCost = primary.map(entry -> cost(entry, customer, context) * PRIMARY_COST_FACTOR)
                .orElse(Double.MAX_VALUE);
        for (DatabaseEntry entry : group.readableReplicas()) {
            double cost = cost(entry, customer, context);
            if (!excludedDatabases.contains(entry.name()) && cost < bestCost) {
                best = new Placement(entry.name(), false, required);
                bestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private static Optional<LogPosition> requiredPosition(
            ServiceRoute route, Optional<LogPosition> lastCommit, Instant arrivedAt, SessionContext context) {
        Instant oldestAcceptable = arrivedAt.minus(route.maximumStaleness());
        Optional<LogPosition> primaryPosition = context.primaryHistory().firstCovering(oldestAcceptable);
        if (route.consistency() == Consistency.BOUNDED_STALENESS) {
            return primaryPosition;
        }
        return primaryPosition.map(position ->
                lastCommit.filter(own -> own.compareTo(position) > 0).orElse(position));
    }

    private static double cost(DatabaseEntry entry, CustomerName customer, SessionContext context) {
        DatabaseLoad load = context.loads().getOrDefault(entry.name(), DatabaseLoad.UNKNOWN);
        if (context.now().isBefore(load.avoidUntil())) {
            return Double.MAX_VALUE / 4;
        }
        double queueFactor = 1 + (double) load.outstandingStatements() / Math.max(1, entry.slots());
        double connectionCost =
                load.customersWithIdleConnections().contains(customer) ? 0 : NEW_CONNECTION_COST.toNanos();
        return load.latency().toNanos() * queueFactor + connectionCost;
    }
}
