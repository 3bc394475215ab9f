package org.geraniumproxy.core.configuration;

import java.util.Set;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * A customer and its allowance over all VMs together.
 *
 * @param name its name
 * @param ratePerSecond requests per second, above zero
 * @param burst requests that it may send at once after a pause, at least one
 * @param weight its weight in the fair queues, at least one
 * @param keyDigests digests of its keys
 */
public record Customer(CustomerName name, double ratePerSecond, int burst, int weight, Set<KeyDigest> keyDigests) {
    /**
     * Copies the digests and validates the figures.
     *
     * @throws IllegalArgumentException if a figure is impossible
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
