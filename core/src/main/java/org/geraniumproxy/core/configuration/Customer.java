package org.geraniumproxy.core.configuration;

import java.util.Set;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * A customer with its request limits, which apply to all VMs together.
 *
 * @param name unique name in the configuration
 * @param ratePerSecond sustained requests per second, above zero
 * @param burst requests that may exceed the sustained rate after an idle period, at least one
 * @param weight weight in the weighted fair queues, at least one
 * @param keyDigests digests of the API keys, empty if the customer has none
 */
public record Customer(CustomerName name, double ratePerSecond, int burst, int weight, Set<KeyDigest> keyDigests) {
    /**
     * Copies the digests and validates the limits.
     *
     * @throws IllegalArgumentException if a limit is out of range
     */
    public Customer {
        keyDigests = Set.copyOf(keyDigests);
        if (!(ratePerSecond > 0) || Double.isInfinite(ratePerSecond)) {
            throw new IllegalArgumentException("rate must be above zero for customer " + name);
        }
        if (burst < 1) {
            throw new IllegalArgumentException("burst must be at least 1 for customer " + name);
        }
        if (weight < 1) {
            throw new IllegalArgumentException("weight must be at least 1 for customer " + name);
        }
    }
}
