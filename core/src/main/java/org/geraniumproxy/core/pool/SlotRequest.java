package org.geraniumproxy.core.pool;

import java.time.Instant;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * A request for a slot of a database.
 *
 * @param id id of the request, unique in the queue
 * @param customer customer of the statement
 * @param weight weight of the customer, at least 1
 * @param cost cost of the statement, greater than 0; 1 for a typical statement
 * @param deadline time after which the request is obsolete
 * @param holdsConnection whether the request belongs to a transaction that already holds a connection
 */
public record SlotRequest(
        long id, CustomerName customer, int weight, double cost, Instant deadline, boolean holdsConnection) {
    /**
     * Validates weight and cost.
     *
     * @throws IllegalArgumentException if weight or cost is not positive
     */
    public SlotRequest {
        if (weight < 1 || !(cost > 0)) {
            throw new IllegalArgumentException("weight and cost of a slot request must be positive");
        }
    }
}
