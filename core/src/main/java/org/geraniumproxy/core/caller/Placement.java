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
import org.geraniumproxy.core.routing.PlacementConstraints;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.geraniumproxy.core.service.ServiceRoute;

/**
 * The database chosen to run a statement or transaction.
 *
 * @param database name of the database
 * @param primary whether the database was chosen as the primary; its answer must then prove that it still is
 * @param minimumPosition log position that a replica must have reached, empty at the primary
 */
public record Placement(BackendServerName database, boolean primary, Optional<LogPosition> minimumPosition) {
    /** Cost factor of the primary for reads, so that reads load the primary only if replicas are this much slower. */
    private static final double PRIMARY_COST_FACTOR = 2.0;

    /** Cost of a read that needs a new connection: opening one takes a slot and a round trip. */
    private static final Duration NEW_CONNECTION_COST = Duration.ofMillis(40);

    /**
     * Chooses a database for a statement or transaction.
     *
     * @param route route of the statement
     * @param customer customer of the statement
     * @param mayUseReplica whether the statement or transaction is read-only
     * @param lastCommit position of the session's last commit, or empty if none is known
     * @param excludedDatabases databases that already refused the statement
     * @param arrivedAt time at which the statement was received
     * @param context input of the decision
     * @return the placement, or empty if no database is usable now
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
        PlacementConstraints constraints = context.view().constraints();
        ServiceRoute newest = PlacementRefusal.newest(route, context.view());
        Optional<ServiceCustomer> limits = PlacementRefusal.customer(customer, context.view());
        Optional<DatabaseEntry> primary = group.primary()
                .filter(entry -> !excludedDatabases.contains(entry.name()))
                .filter(entry -> constraints.allows(entry, newest, limits));
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
            if (!constraints.allows(entry, newest, limits)) {
                continue;
            }
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
                lastCommit.filter(commit -> commit.compareTo(position) > 0).orElse(position));
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
