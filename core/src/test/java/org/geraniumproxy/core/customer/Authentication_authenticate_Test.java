package org.geraniumproxy.core.customer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.ConfigurationRevision;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Route;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.routing.Access;
import org.junit.jupiter.api.Test;

/** Guards against requests that run for the wrong customer or with a key that may have been withdrawn. */
class Authentication_authenticate_Test {
    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final KeyDigest KEY = KeyDigest.ofKey("a key");
    private static final CustomerName CUSTOMER = CustomerName.of("troupes");
    private static final CustomerName OPEN_CUSTOMER = CustomerName.of("public");
    private static final RouteName KEY_ROUTE = RouteName.of("registrations");
    private static final RouteName OPEN_ROUTE = RouteName.of("programme");

    @Test
    void should_run_a_request_for_the_customer_of_its_key() {
        assertThat(customer(authenticate(KEY_ROUTE, Optional.of(KEY), Duration.ZERO)), is(Optional.of(CUSTOMER)));
    }

    @Test
    void should_run_a_request_without_a_key_for_the_open_customer_even_with_an_old_view() {
        assertThat(
                customer(authenticate(OPEN_ROUTE, Optional.empty(), Duration.ofMinutes(1))),
                is(Optional.of(OPEN_CUSTOMER)));
    }

    @Test
    void should_refuse_a_key_on_a_view_that_may_miss_its_withdrawal() {
        Duration tooOld = ControlSnapshot.MAXIMUM_VIEW_AGE.plusMillis(1);
        assertThat(reason(authenticate(KEY_ROUTE, Optional.of(KEY), tooOld)), is(NotRunReason.VIEW_TOO_OLD));
        assertThat(reason(authenticate(OPEN_ROUTE, Optional.of(KEY), tooOld)), is(NotRunReason.VIEW_TOO_OLD));
    }

    @Test
    void should_refuse_unknown_keys_and_missing_keys_and_unknown_routes() {
        Optional<KeyDigest> unknown = Optional.of(KeyDigest.ofKey("another key"));
        assertThat(reason(authenticate(KEY_ROUTE, unknown, Duration.ZERO)), is(NotRunReason.UNKNOWN_KEY));
        assertThat(reason(authenticate(OPEN_ROUTE, unknown, Duration.ZERO)), is(NotRunReason.UNKNOWN_KEY));
        assertThat(reason(authenticate(KEY_ROUTE, Optional.empty(), Duration.ZERO)), is(NotRunReason.UNKNOWN_KEY));
        assertThat(
                reason(authenticate(RouteName.of("other"), Optional.of(KEY), Duration.ZERO)),
                is(NotRunReason.UNKNOWN_ROUTE));
    }

    private static Authentication authenticate(RouteName route, Optional<KeyDigest> key, Duration viewAge) {
        Configuration configuration = new Configuration(
                Map.of(
                        CUSTOMER, new Customer(CUSTOMER, 1, 1, 1, Set.of(KEY)),
                        OPEN_CUSTOMER, new Customer(OPEN_CUSTOMER, 1, 1, 1, Set.of())),
                Map.of(),
                Map.of(
                        KEY_ROUTE,
                        route(KEY_ROUTE, Optional.empty()),
                        OPEN_ROUTE,
                        route(OPEN_ROUTE, Optional.of(OPEN_CUSTOMER))));
        ControlSnapshot snapshot = new ControlSnapshot(
                VmName.of("vm-0"),
                new ConfigurationRevision(1, "a", "b", configuration),
                Roster.EMPTY,
                Set.of(),
                Optional.of(NOW.minus(viewAge)),
                false,
                Map.of());
        return Authentication.authenticate(snapshot, route, key, NOW);
    }

    private static Route route(RouteName name, Optional<CustomerName> openCustomer) {
        return new Route(name, List.of(GroupName.of("ledger")), Access.READ, Duration.ZERO, openCustomer, Set.of());
    }

    private static Optional<CustomerName> customer(Authentication authentication) {
        return authentication instanceof Authentication.Authenticated authenticated
                ? Optional.of(authenticated.customer().name())
                : Optional.empty();
    }

    private static NotRunReason reason(Authentication authentication) {
        return ((Authentication.Refused) authentication).reason();
    }
}
