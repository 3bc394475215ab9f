package org.geraniumproxy.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.service.AllowedRegions;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.geraniumproxy.core.service.ServiceRoute;
import org.junit.jupiter.api.Test;

/** Guards against statements in a region that the route or the customer does not allow, and in a closed domain. */
class PlacementConstraints_allows_Test {
    private static final FailureDomain LIMA = FailureDomain.of("lima-a");
    private static final FailureDomain CUSCO = FailureDomain.of("cusco-a");
    private static final Map<FailureDomain, RegionName> REGIONS =
            Map.of(LIMA, RegionName.of("lima"), CUSCO, RegionName.of("cusco"));

    @Test
    void should_allow_only_regions_that_both_route_and_customer_allow() {
        assertThat(allows(LIMA, Set.of("lima", "cusco"), Set.of("lima")), is(true));
        assertThat(allows(CUSCO, Set.of("lima", "cusco"), Set.of("lima")), is(false));
        assertThat(allows(LIMA, Set.of("cusco"), Set.of("lima")), is(false));
        assertThat(allows(CUSCO, Set.of(), Set.of("lima")), is(false));
        assertThat(allows(CUSCO, Set.of(), Set.of()), is(true));
    }

    /** Guards against a misspelt region that allows all regions. */
    @Test
    void should_allow_nothing_when_no_failure_domain_is_in_the_allowed_region() {
        assertThat(allows(LIMA, Set.of("Lima!"), Set.of()), is(false));
        assertThat(
                new PlacementConstraints(REGIONS, Map.of(), Set.of())
                        .hasAllowedRegion(route(Set.of("Lima!")), Optional.empty()),
                is(false));
    }

    @Test
    void should_allow_an_unknown_failure_domain_only_where_all_regions_are_allowed() {
        FailureDomain unknown = FailureDomain.of("tacna-a");
        assertThat(allows(unknown, Set.of(), Set.of()), is(true));
        assertThat(allows(unknown, Set.of("lima"), Set.of()), is(false));
    }

    @Test
    void should_allow_the_primary_of_an_evacuated_failure_domain_until_it_is_closed() {
        assertThat(allowsInPhase(EvacuationPhase.REPLACING), is(true));
        assertThat(allowsInPhase(EvacuationPhase.CLOSED), is(false));
        assertThat(allowsInPhase(EvacuationPhase.ENDED), is(false));
    }

    private static boolean allowsInPhase(EvacuationPhase phase) {
        return new PlacementConstraints(REGIONS, Map.of(LIMA, phase), Set.of())
                .allows(entry(LIMA), route(Set.of()), Optional.empty());
    }

    private static boolean allows(FailureDomain failureDomain, Set<String> ofRoute, Set<String> ofCustomer) {
        ServiceCustomer customer =
                new ServiceCustomer(CustomerName.of("troupe"), Set.of(), 1, 1, new AllowedRegions(ofCustomer));
        return new PlacementConstraints(REGIONS, Map.of(), Set.of())
                .allows(entry(failureDomain), route(ofRoute), Optional.of(customer));
    }

    private static ServiceRoute route(Set<String> regions) {
        return new ServiceRoute(
                RouteName.of("fees"),
                "fees",
                GroupName.of("entries"),
                Consistency.PRIMARY,
                Duration.ZERO,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                false,
                new AllowedRegions(regions));
    }

    private static DatabaseEntry entry(FailureDomain failureDomain) {
        return new DatabaseEntry(
                BackendServerName.of("db-1"),
                GroupName.of("entries"),
                "10.0.0.1:1",
                failureDomain,
                2,
                false,
                true,
                1,
                1,
                new StoreRevision(0, 1));
    }
}
