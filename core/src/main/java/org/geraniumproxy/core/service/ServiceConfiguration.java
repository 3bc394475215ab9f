package org.geraniumproxy.core.service;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;

/**
 * A version of the operator's configuration. A newer version replaces the whole configuration.
 *
 * @param version version number; a greater number is newer
 * @param routes routes by the database name that callers connect to
 * @param groups database groups by name
 * @param customers customers by name
 * @param customersByKey customers by the digests of their keys
 * @param transactionIdleTimeout idle time after which an open transaction is rolled back
 */
public record ServiceConfiguration(
        long version,
        Map<String, ServiceRoute> routes,
        Map<GroupName, ServiceGroup> groups,
        Map<CustomerName, ServiceCustomer> customers,
        Map<KeyDigest, ServiceCustomer> customersByKey,
        Duration transactionIdleTimeout) {
    /** The configuration of a VM that has not loaded one yet. */
    public static final ServiceConfiguration NONE =
            new ServiceConfiguration(0, Map.of(), Map.of(), Map.of(), Map.of(), Duration.ofSeconds(3));

    /** Makes unmodifiable copies of the maps. */
    public ServiceConfiguration {
        routes = Map.copyOf(routes);
        groups = Map.copyOf(groups);
        customers = Map.copyOf(customers);
        customersByKey = Map.copyOf(customersByKey);
    }

    /**
     * Creates a configuration and its index of customers by key.
     *
     * @param version version number; a greater number is newer
     * @param routes routes by the database name that callers connect to
     * @param groups database groups by name
     * @param customers customers by name
     * @param transactionIdleTimeout idle time after which an open transaction is rolled back
     * @return the configuration
     */
    public static ServiceConfiguration of(
            long version,
            Map<String, ServiceRoute> routes,
            Map<GroupName, ServiceGroup> groups,
            Map<CustomerName, ServiceCustomer> customers,
            Duration transactionIdleTimeout) {
        Map<KeyDigest, ServiceCustomer> byKey = new HashMap<>();
        for (ServiceCustomer customer : customers.values()) {
            customer.keys().forEach(key -> byKey.put(key, customer));
        }
        return new ServiceConfiguration(version, routes, groups, customers, byKey, transactionIdleTimeout);
    }

    /**
     * Returns whether a configuration has been loaded.
     *
     * @return false for {@link #NONE}
     */
    public boolean isKnown() {
        return version > 0;
    }

    /**
     * Returns the route for a database name.
     *
     * @param database database name that a caller connects to
     * @return the route, or empty if no route has that name
     */
    public Optional<ServiceRoute> route(String database) {
        return Optional.ofNullable(routes.get(database));
    }

    /**
     * Returns the customer that holds a key.
     *
     * @param key digest of the key
     * @return the customer, or empty if no customer holds the key
     */
    public Optional<ServiceCustomer> customer(KeyDigest key) {
        return Optional.ofNullable(customersByKey.get(key));
    }
}
