package org.geraniumproxy.core.limit;

import java.util.Map;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;

/**
 * Tells the next owner of some rates that the sender has stopped lending them.
 *
 * @param sender VM that owned the rates
 * @param tokens tokens that it had left, by customer
 */
public record RateHandover(VmName sender, Map<CustomerName, Long> tokens) {
    /**
     * Copies and validates the tokens.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public RateHandover {
        tokens = Map.copyOf(tokens);
        if (tokens.values().stream().anyMatch(count -> count < 0)) {
            throw new IllegalArgumentException("tokens of a handover must not be negative");
        }
    }
}
