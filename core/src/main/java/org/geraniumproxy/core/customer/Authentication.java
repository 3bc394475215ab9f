package org.geraniumproxy.core.customer;

import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Route;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.outcome.NotRunReason;

/** Result of authenticating a request. */
public sealed interface Authentication {
    /**
     * The request was authenticated.
     *
     * @param customer customer that the request runs for
     * @param route route of the request
     * @param keyPresented whether the request came with a key, false for an open route without one
     */
    record Authenticated(Customer customer, Route route, boolean keyPresented) implements Authentication {}

    /**
     * The request was refused.
     *
     * @param reason reason of the refusal
     * @param detail text for the caller; contains no part of the key
     */
    record Refused(NotRunReason reason, String detail) implements Authentication {}

    /**
     * Authenticates a request. A key is checked only if the view is proven current, because a withdrawn key must stop
     * working within seconds. A request with an unknown key is refused on an open route too.
     *
     * @param snapshot control state of this VM
     * @param routeName name of the route
     * @param key digest of the key in the request, or empty if there is none
     * @param now current time of this VM's clock
     * @return customer and route, or a refusal
     */
    static Authentication authenticate(
            ControlSnapshot snapshot, RouteName routeName, Optional<KeyDigest> key, Instant now) {
        Configuration configuration = snapshot.currentConfiguration();
        Route route = configuration.routes().get(routeName);
        boolean requiresKeyCheck =
                key.isPresent() || route == null || route.openCustomer().isEmpty();
        if (requiresKeyCheck && !snapshot.isViewCurrent(now)) {
            return refused(NotRunReason.VIEW_TOO_OLD, "this VM can't prove that its configuration is current");
        }
        if (route == null) {
            return refused(NotRunReason.UNKNOWN_ROUTE, "no route has this name");
        }
        Optional<Customer> customer = customerOf(configuration, route, key);
        if (customer.isEmpty()) {
            return requiresKeyCheck
                    ? refused(NotRunReason.UNKNOWN_KEY, "the route needs the key of a customer")
                    : refused(NotRunReason.UNKNOWN_CUSTOMER, "the customer of the open route is not configured");
        }
        if (!isRouteAllowed(customer.get(), route)) {
            return refused(NotRunReason.ROUTE_NOT_ALLOWED, "the customer may not use the route");
        }
        return new Authenticated(customer.get(), route, key.isPresent());
    }

    private static Optional<Customer> customerOf(Configuration configuration, Route route, Optional<KeyDigest> key) {
        if (key.isPresent()) {
            return configuration.findCustomer(key.get());
        }
        return route.openCustomer()
                .flatMap(name -> Optional.ofNullable(configuration.customers().get(name)));
    }

    private static boolean isRouteAllowed(Customer customer, Route route) {
        return route.customers().isEmpty() || route.customers().contains(customer.name());
    }

    private static Authentication refused(NotRunReason reason, String detail) {
        return new Refused(reason, detail);
    }
}
