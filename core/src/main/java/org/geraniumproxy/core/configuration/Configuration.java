package org.geraniumproxy.core.configuration;

import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;

/**
 * The operators' configuration, checked and complete.
 *
 * @param customers the customers by name
 * @param groups the database groups by name
 * @param routes the routes by name
 */
public record Configuration(
        Map<CustomerName, Customer> customers, Map<GroupName, DatabaseGroup> groups, Map<RouteName, Route> routes) {
    /** The configuration before the first one has been applied. */
    public static final Configuration EMPTY = new Configuration(Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public Configuration {
        customers = Map.copyOf(customers);
        groups = Map.copyOf(groups);
        routes = Map.copyOf(routes);
    }

    /**
     * Finds the customer that a key belongs to.
     *
     * @param digest the digest of the key
     * @return the customer, or empty if no customer has the key
     */
    public Optional<Customer> findCustomer(KeyDigest digest) {
        return customers.values().stream()
                .filter(customer -> customer.keyDigests().contains(digest))
                .findFirst();
    }
}
