package org.geraniumproxy.core.pool;

import java.time.Instant;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * A request for a slot.
 *
 * @param id number of the request, unique in the queue
 * @param customer the customer that it runs for
 * @param weight the customer's weight, at least one
 * @param cost cost of its statement, one for a usual one
 * @param deadline moment at which it is no longer wanted
 * @param holdsConnection whether it belongs to a transaction that holds a connection already
 */
public record SlotRequest(
        long id, CustomerName customer, int weight, double cost, Instant deadline, boolean holdsConnection) {
    /**
     * Validates the figures.
     *
     * @throws IllegalArgumentException if weight or cost is not positive
     */
    public SlotRequest {
        if (weight < 1 || !(cost > 0)) {
            throw new IllegalArgumentException("weight and cost of a slot request must be positive");
        }
    }
}
