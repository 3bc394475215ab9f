package org.geraniumproxy.core.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.routing.Access;
import org.junit.jupiter.api.Test;

/** Guards against changes that are missing from the difference shown to the operator before an apply. */
class ConfigurationDifference_between_Test {
    private static final KeyDigest OLD_KEY = KeyDigest.ofKey("old");
    private static final KeyDigest NEW_KEY = KeyDigest.ofKey("new");

    @Test
    void should_list_each_change_once() {
        // given
        Customer kept = customer("kept", 10, OLD_KEY);
        Customer changed = customer("kept", 20, NEW_KEY);
        Customer gone = customer("gone", 1, KeyDigest.ofKey("gone"));
        DatabaseGroup group = group(2, server("a", "127.0.0.1:1"), server("b", "127.0.0.1:2"));
        DatabaseGroup changedGroup = group(3, server("a", "127.0.0.1:9"), server("c", "127.0.0.1:3"));
        Route route = route(Duration.ZERO);
        Route changedRoute = route(Duration.ofSeconds(2));

        // when
        List<ConfigurationChange> changes = ConfigurationDifference.between(
                configuration(group, route, kept, gone), configuration(changedGroup, changedRoute, changed));

        // then
        assertThat(
                changes,
                contains(
                        new ConfigurationChange.CustomerRemoved(gone.name()),
                        new ConfigurationChange.AllowanceChanged(kept, changed),
                        new ConfigurationChange.KeyGranted(kept.name(), NEW_KEY),
                        new ConfigurationChange.KeyWithdrawn(kept.name(), OLD_KEY),
                        new ConfigurationChange.CapacityChanged(group, changedGroup),
                        new ConfigurationChange.BackendServerChanged(
                                group.name(), server("a", "127.0.0.1:1"), server("a", "127.0.0.1:9")),
                        new ConfigurationChange.BackendServerRemoved(group.name(), BackendServerName.of("b")),
                        new ConfigurationChange.BackendServerAdded(group.name(), server("c", "127.0.0.1:3")),
                        new ConfigurationChange.RouteChanged(route, changedRoute)));
    }

    @Test
    void should_be_empty_for_equal_configurations() {
        Configuration configuration =
                configuration(group(2, server("a", "127.0.0.1:1")), route(Duration.ZERO), customer("one", 1, OLD_KEY));
        assertThat(ConfigurationDifference.between(configuration, configuration), empty());
    }

    private static Configuration configuration(DatabaseGroup group, Route route, Customer... customers) {
        Map<CustomerName, Customer> byName = new HashMap<>();
        for (Customer customer : customers) {
            byName.put(customer.name(), customer);
        }
        return new Configuration(byName, Map.of(group.name(), group), Map.of(route.name(), route));
    }

    private static Customer customer(String name, double rate, KeyDigest digest) {
        return new Customer(CustomerName.of(name), rate, 5, 1, Set.of(digest));
    }

    private static DatabaseGroup group(int slots, BackendServer... servers) {
        return new DatabaseGroup(GroupName.of("ledger"), List.of(servers), slots, 16, 4);
    }

    private static BackendServer server(String name, String address) {
        return new BackendServer(
                BackendServerName.of(name), address, RegionName.of("lima"), FailureDomain.of("lima-1"));
    }

    private static Route route(Duration acceptedAge) {
        return new Route(
                RouteName.of("programme"),
                List.of(GroupName.of("ledger")),
                Access.READ,
                acceptedAge,
                Optional.empty(),
                Set.of());
    }
}
