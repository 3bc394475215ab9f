package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.balance.LoadEstimate;
import org.geraniumproxy.core.balance.ReplicaChoice;
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

    /** Cost of a database that is used only if there is no other; finite, so that the primary still costs more. */
    private static final double AVOIDED_COST = Double.MAX_VALUE / 4;

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
        List<DatabaseEntry> allowed = new ArrayList<>(group.readableReplicas());
        primary.ifPresent(allowed::add);
        allowed.removeIf(
                entry -> excludedDatabases.contains(entry.name()) || !constraints.allows(entry, newest, limits));
        Optional<BackendServerName> primaryName = primary.map(DatabaseEntry::name);
        boolean informed = allowed.stream()
                .anyMatch(entry -> load(entry, context).reported().isPresent());
        Optional<BackendServerName> chosenDatabase = informed
                ? ReplicaChoice.choose(candidates(allowed, primaryName, customer, context), context.random())
                : cheapest(allowed, primaryName, customer, context);
        return chosenDatabase.map(chosen -> primaryName.equals(Optional.of(chosen))
                ? atPrimary.orElseThrow()
                : new Placement(chosen, false, required));
    }

    /**
     * Returns the database with the lowest expected latency by the figures of this VM. In a small fleet, where no load
     * is reported, each VM sees a large part of the load itself, and a database in its own region saves traffic between
     * regions.
     */
    private static Optional<BackendServerName> cheapest(
            List<DatabaseEntry> allowed,
            Optional<BackendServerName> primary,
            CustomerName customer,
            SessionContext context) {
        return allowed.stream()
                .min(Comparator.comparingDouble(entry -> {
                    double factor = primary.equals(Optional.of(entry.name())) ? PRIMARY_COST_FACTOR : 1;
                    return cost(entry, customer, context) * factor;
                }))
                .map(DatabaseEntry::name);
    }

    private static double cost(DatabaseEntry entry, CustomerName customer, SessionContext context) {
        DatabaseLoad load = load(entry, context);
        if (context.now().isBefore(load.avoidUntil()) || context.random() >= load.admittedShare()) {
            return AVOIDED_COST;
        }
        double queueFactor = 1 + (double) load.outstandingStatements() / Math.max(1, entry.slots());
        double connectionCost =
                load.customersWithIdleConnections().contains(customer) ? 0 : NEW_CONNECTION_COST.toNanos();
        return load.latency().toNanos() * queueFactor + connectionCost;
    }

    private static List<ReplicaChoice.Candidate> candidates(
            List<DatabaseEntry> allowed,
            Optional<BackendServerName> primary,
            CustomerName customer,
            SessionContext context) {
        List<LoadEstimate> estimates =
                allowed.stream().map(entry -> load(entry, context).estimate()).toList();
        double meanReported = LoadEstimate.meanReported(estimates, context.now());
        return allowed.stream()
                .map(entry -> {
                    DatabaseLoad load = load(entry, context);
                    return new ReplicaChoice.Candidate(
                            entry.name(),
                            primary.equals(Optional.of(entry.name())),
                            entry.slots(),
                            load.estimate().expected(meanReported, context.now()),
                            load.serviceTime(),
                            !load.customersWithIdleConnections().contains(customer),
                            load.admittedShare(),
                            context.now().isBefore(load.avoidUntil()));
                })
                .toList();
    }

    private static DatabaseLoad load(DatabaseEntry entry, SessionContext context) {
        return context.loads().getOrDefault(entry.name(), DatabaseLoad.UNKNOWN);
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
}
