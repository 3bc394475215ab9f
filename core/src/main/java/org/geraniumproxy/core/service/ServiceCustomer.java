package org.geraniumproxy.core.service;

import java.util.Set;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * A customer with its keys and its rate limit, which applies to all VMs together.
 *
 * @param name name of the customer
 * @param keys digests of the keys that authenticate the customer
 * @param operationsPerSecond rate limit in operations per second, not negative
 * @param burst number of operations that may exceed the rate at once, not negative
 * @param regionsAllowed regions in which its statements may run
 */
public record ServiceCustomer(
        CustomerName name, Set<KeyDigest> keys, double operationsPerSecond, int burst, AllowedRegions regionsAllowed) {
    /**
     * Creates a customer whose statements may run in all regions.
     *
     * @param name name of the customer
     * @param keys digests of the keys that authenticate the customer
     * @param operationsPerSecond rate limit in operations per second, not negative
     * @param burst number of operations that may exceed the rate at once, not negative
     */
    public ServiceCustomer(CustomerName name, Set<KeyDigest> keys, double operationsPerSecond, int burst) {
        this(name, keys, operationsPerSecond, burst, AllowedRegions.ALL);
    }

    /**
     * Makes an unmodifiable copy of the keys and validates the rate limit.
     *
     * @throws IllegalArgumentException if rate or burst is negative
     */
    public ServiceCustomer {
        keys = Set.copyOf(keys);
        if (!(operationsPerSecond >= 0) || burst < 0) {
            throw new IllegalArgumentException("rate and burst must not be negative for customer " + name);
        }
    }
}
