package org.geraniumproxy.core.configuration;

import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;

/**
 * A validated configuration. Routes refer only to groups and customers that exist.
 *
 * @param customers the customers by name
 * @param groups the database groups by name
 * @param routes the routes by name
 */
public record Configuration(
        Map<CustomerName, Customer> customers, Map<GroupName, DatabaseGroup> groups, Map<RouteName, Route> routes) {
    /** The configuration before the first apply. */
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
     * @param digest SHA-256 digest of the key
     * @return the customer, or empty for an unknown key
     */
    public Optional<Customer> findCustomer(KeyDigest digest) {
        return customers.values().stream()
                .filter(customer -> customer.keyDigests().contains(digest))
                .findFirst();
    }
}
