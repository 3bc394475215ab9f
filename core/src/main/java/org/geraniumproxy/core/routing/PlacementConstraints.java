package org.geraniumproxy.core.routing;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.service.AllowedRegions;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.geraniumproxy.core.service.ServiceRoute;

/**
 * Where statements may run: the regions of the failure domains and the evacuations in progress. Replicas in an
 * evacuated failure domain are no longer among the databases that accept statements; a primary is until its failure
 * domain is closed.
 *
 * @param regions region of each failure domain
 * @param evacuated evacuated failure domains
 * @param closedGroups groups whose primary gets no statement because its failure domain is evacuated
 */
public record PlacementConstraints(
        Map<FailureDomain, RegionName> regions,
        Map<FailureDomain, EvacuationPhase> evacuated,
        Set<GroupName> closedGroups) {
    /** No failure domain is known, and none is evacuated. */
    public static final PlacementConstraints NONE = new PlacementConstraints(Map.of(), Map.of(), Set.of());

    /** Makes unmodifiable copies of the collections. */
    public PlacementConstraints {
        regions = Map.copyOf(regions);
        evacuated = Map.copyOf(evacuated);
        closedGroups = Set.copyOf(closedGroups);
    }

    /**
     * Returns whether a statement may run at a database that accepts statements.
     *
     * @param entry entry of the database
     * @param route route of the statement
     * @param customer customer of the statement, or empty for an anonymous caller
     * @return false if its region is not allowed, or its failure domain is closed by an evacuation
     */
    public boolean allows(DatabaseEntry entry, ServiceRoute route, Optional<ServiceCustomer> customer) {
        boolean closed = phaseOf(entry)
                .filter(phase -> phase != EvacuationPhase.REPLACING)
                .isPresent();
        return !closed && allowsRegionOf(entry, route, customer);
    }

    /**
     * Returns whether a statement may run in the region of a database. A database in an unknown region runs only
     * statements that may run in all regions.
     *
     * @param entry entry of the database
     * @param route route of the statement
     * @param customer customer of the statement, or empty for an anonymous caller
     * @return true if both the route and the customer allow the region
     */
    public boolean allowsRegionOf(DatabaseEntry entry, ServiceRoute route, Optional<ServiceCustomer> customer) {
        RegionName region = regions.get(entry.failureDomain());
        return region == null ? allowsAll(route, customer) : allowsRegion(region, route, customer);
    }

    /**
     * Returns whether a statement, and its text, may be sent to a region.
     *
     * @param region name of the region
     * @param route route of the statement
     * @param customer customer of the statement, or empty for an anonymous caller
     * @return true if both the route and the customer allow the region
     */
    public boolean allowsRegion(RegionName region, ServiceRoute route, Optional<ServiceCustomer> customer) {
        return route.regionsAllowed().allows(region) && regionsOf(customer).allows(region);
    }

    /**
     * Returns whether a statement may run in any region that a failure domain has.
     *
     * @param route route of the statement
     * @param customer customer of the statement, or empty for an anonymous caller
     * @return false if the regions of the route and of the customer have none in common that is known
     */
    public boolean hasAllowedRegion(ServiceRoute route, Optional<ServiceCustomer> customer) {
        return allowsAll(route, customer)
                || regions.values().stream().anyMatch(region -> allowsRegion(region, route, customer));
    }

    /**
     * Returns the progress of the evacuation of a database's failure domain.
     *
     * @param entry entry of the database
     * @return the phase, or empty if the failure domain is not evacuated
     */
    public Optional<EvacuationPhase> phaseOf(DatabaseEntry entry) {
        return Optional.ofNullable(evacuated.get(entry.failureDomain()));
    }

    private static boolean allowsAll(ServiceRoute route, Optional<ServiceCustomer> customer) {
        return route.regionsAllowed().allowsAll() && regionsOf(customer).allowsAll();
    }

    private static AllowedRegions regionsOf(Optional<ServiceCustomer> customer) {
        return customer.map(ServiceCustomer::regionsAllowed).orElse(AllowedRegions.ALL);
    }
}
