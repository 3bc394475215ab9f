package org.geraniumproxy.core.service;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;

/**
 * A version of the operator's configuration. Versions replace each other as a whole.
 *
 * @param version number of the version; a greater one is newer
 * @param routes routes by the database name of their callers
 * @param groups database groups by name
 * @param customers customers by name
 * @param customersByKey customers by the digest of each of their keys
 * @param transactionIdleTimeout longest pause inside a transaction before it is rolled back
 */
public record ServiceConfiguration(
        long version,
        Map<String, ServiceRoute> routes,
        Map<GroupName, ServiceGroup> groups,
        Map<CustomerName, ServiceCustomer> customers,
        Map<KeyDigest, ServiceCustomer> customersByKey,
        Duration transactionIdleTimeout) {
    /** Used until a configuration is known. */
    public static final ServiceConfiguration NONE =
            new ServiceConfiguration(0, Map.of(), Map.of(), Map.of(), Map.of(), Duration.ofSeconds(3));

    /** Copies the maps. */
    public ServiceConfiguration {
        routes = Map.copyOf(routes);
        groups = Map.copyOf(groups);
        customers = Map.copyOf(customers);
        customersByKey = Map.copyOf(customersByKey);
    }

    /**
     * Returns a configuration whose customers are found by their keys.
     *
     * @param version number of the version
     * @param routes routes by the database name of their callers
     * @param groups database groups by name
     * @param customers customers by name
     * @param transactionIdleTimeout longest pause inside a transaction
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
     * Tells whether a configuration has been learned.
     *
     * @return false for {@link #NONE}
     */
    public boolean isKnown() {
        return version > 0;
    }

    /**
     * Returns the route of a database name.
     *
     * @param database the name that a caller connects to
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
