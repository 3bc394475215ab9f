package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.routing.PlacementConstraints;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.geraniumproxy.core.service.ServiceRoute;

/** Refuses statements for which waiting is useless, because no database may run them. */
final class PlacementRefusal {
    /** Time after which a refused caller is told to come back: that between two attempts to replace a primary. */
    static final Duration RETRY_AFTER = Duration.ofMillis(500);

    private PlacementRefusal() {}

    /**
     * Returns the refusal of a statement or transaction.
     *
     * @param route route of the statement
     * @param customer customer of the statement
     * @param mayUseReplica whether the statement or transaction is read-only
     * @param view the published control state
     * @return the refusal, or empty if a database may run the statement, or none of the group is known yet
     */
    static Optional<StatementResult.Failed> of(
            ServiceRoute route, CustomerName customer, boolean mayUseReplica, TrafficView view) {
        boolean needsPrimary = !mayUseReplica || route.consistency() == Consistency.PRIMARY;
        if (!isRegionAllowed(route, customer, needsPrimary, view)) {
            return Optional.of(new StatementResult.Failed(
                    ErrorCode.REGION_NOT_ALLOWED,
                    "not run: no database is in a region that both the route and the customer allow"));
        }
        return needsPrimary ? evacuated(route, view) : Optional.empty();
    }

    /** Returns the refusal of a statement that only an evacuated primary could run. */
    static Optional<StatementResult.Failed> evacuated(ServiceRoute route, TrafficView view) {
        return view.constraints().closedGroups().contains(route.group())
                ? Optional.of(new StatementResult.Failed(
                        ErrorCode.EVACUATED,
                        "not run: the failure domain of the primary is evacuated; retry after " + RETRY_AFTER.toMillis()
                                + " ms"))
                : Optional.empty();
    }

    private static boolean isRegionAllowed(
            ServiceRoute route, CustomerName customer, boolean needsPrimary, TrafficView view) {
        PlacementConstraints constraints = view.constraints();
        ServiceRoute newest = newest(route, view);
        Optional<ServiceCustomer> limits = customer(customer, view);
        if (!constraints.hasAllowedRegion(newest, limits)) {
            return false;
        }
        List<DatabaseEntry> candidates = candidates(route, needsPrimary, view);
        return candidates.isEmpty()
                || candidates.stream().anyMatch(entry -> constraints.allowsRegionOf(entry, newest, limits));
    }

    /** Returns the refusal of a statement of a transaction whose database is in a region that is no longer allowed. */
    static Optional<StatementResult.Failed> pinned(
            ServiceRoute route, CustomerName customer, BackendServerName database, TrafficView view) {
        return view.database(route.group(), database)
                .filter(entry ->
                        !view.constraints().allowsRegionOf(entry, newest(route, view), customer(customer, view)))
                .map(_ -> new StatementResult.Failed(
                        ErrorCode.REGION_NOT_ALLOWED,
                        "rolled back: the region of the database is no longer allowed by both route and customer"));
    }

    /** Returns the route in the latest configuration. A statement in progress keeps the one with which it began. */
    static ServiceRoute newest(ServiceRoute route, TrafficView view) {
        return view.configuration().route(route.database()).orElse(route);
    }

    /** Returns the databases that may run the statement now or later: any if the primary isn't known. */
    private static List<DatabaseEntry> candidates(ServiceRoute route, boolean needsPrimary, TrafficView view) {
        GroupDirectory directory = view.directoryOf(route.group());
        Optional<DatabaseEntry> primary = directory.primary();
        if (needsPrimary && primary.isPresent()) {
            return List.of(primary.get());
        }
        List<DatabaseEntry> candidates = new ArrayList<>(directory.databases().values());
        view.formerDatabases().values().stream()
                .filter(entry -> entry.group().equals(route.group()))
                .forEach(candidates::add);
        return candidates;
    }

    /** Returns the configured customer, or empty for an anonymous caller. */
    static Optional<ServiceCustomer> customer(CustomerName name, TrafficView view) {
        return Optional.ofNullable(view.configuration().customers().get(name));
    }
}
