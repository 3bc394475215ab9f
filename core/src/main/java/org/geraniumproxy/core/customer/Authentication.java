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

/** Finds the customer that a request runs for. */
public sealed interface Authentication {
    /**
     * The request runs for a customer.
     *
     * @param customer the customer
     * @param route the route of the request
     * @param keyPresented whether a key proved the customer; false on an open route without a key
     */
    record Authenticated(Customer customer, Route route, boolean keyPresented) implements Authentication {}

    /**
     * The request runs for nobody.
     *
     * @param reason why
     * @param detail what would be right, without any part of the key
     */
    record Refused(NotRunReason reason, String detail) implements Authentication {}

    /**
     * Authenticates a request. A key is checked only against a view that is proven current, because a withdrawn key
     * must stop working within seconds. A key is never ignored: a request with an unknown key is refused on an open
     * route too.
     *
     * @param snapshot what this VM knows
     * @param routeName the route of the request
     * @param key digest of the key that came with the request, or empty if none did
     * @param now the present moment on this VM's clock
     * @return the customer and the route, or the refusal
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
