package org.geraniumproxy.core.pool;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * Number of connections of one VM to one database, by the customer for which they were opened.
 *
 * @param idle number of idle connections by customer
 * @param opening number of connections being opened by customer
 * @param inUse number of connections in use by requests of all customers
 * @param lastUsedAt time at which a connection of the customer was last used
 */
record CustomerConnections(
        Map<CustomerName, Integer> idle,
        Map<CustomerName, Integer> opening,
        int inUse,
        Map<CustomerName, Instant> lastUsedAt) {
    static final CustomerConnections NONE = new CustomerConnections(Map.of(), Map.of(), 0, Map.of());

    CustomerConnections {
        idle = Map.copyOf(idle);
        opening = Map.copyOf(opening);
        lastUsedAt = Map.copyOf(lastUsedAt);
        InvariantViolation.check(inUse >= 0, "connection counts must not be negative");
    }

    int idleOf(CustomerName customer) {
        return idle.getOrDefault(customer, 0);
    }

    int openingOf(CustomerName customer) {
        return opening.getOrDefault(customer, 0);
    }

    int openingTotal() {
        return sum(opening);
    }

    int total() {
        return inUse + sum(idle) + sum(opening);
    }

    CustomerConnections startOpening(CustomerName customer) {
        return new CustomerConnections(idle, adjusted(opening, customer, 1), inUse, lastUsedAt);
    }

    CustomerConnections opened(CustomerName customer, Instant now) {
        return new CustomerConnections(
                adjusted(idle, customer, 1), adjusted(opening, customer, -1), inUse, withLastUse(customer, now));
    }

    CustomerConnections openingFailed(CustomerName customer) {
        return new CustomerConnections(idle, adjusted(opening, customer, -1), inUse, lastUsedAt);
    }

    CustomerConnections acquire(CustomerName customer, Instant now) {
        return new CustomerConnections(adjusted(idle, customer, -1), opening, inUse + 1, withLastUse(customer, now));
    }

    CustomerConnections release(CustomerName customer, boolean reusable, Instant now) {
        Map<CustomerName, Integer> nextIdle = reusable ? adjusted(idle, customer, 1) : idle;
        return new CustomerConnections(nextIdle, opening, inUse - 1, withLastUse(customer, now));
    }

    CustomerConnections removeIdle(CustomerName customer) {
        return new CustomerConnections(adjusted(idle, customer, -1), opening, inUse, lastUsedAt);
    }

    /** Returns the customer with the least recently used idle connection, except for the excluded customers. */
    Optional<CustomerName> leastRecentlyUsed(Map<CustomerName, Integer> excluded) {
        return idle.keySet().stream()
                .filter(customer -> !excluded.containsKey(customer))
                .min((one, other) -> lastUsedAt.get(one).compareTo(lastUsedAt.get(other)));
    }

    /** Returns the customer with the least recently used idle connection if its last use was before a given time. */
    Optional<CustomerName> leastRecentlyUsedBefore(Instant time) {
        return leastRecentlyUsed(Map.of())
                .filter(customer -> lastUsedAt.get(customer).isBefore(time));
    }

    private Map<CustomerName, Instant> withLastUse(CustomerName customer, Instant now) {
        Map<CustomerName, Instant> next = new HashMap<>(lastUsedAt);
        next.put(customer, now);
        return next;
    }

    private static Map<CustomerName, Integer> adjusted(
            Map<CustomerName, Integer> counts, CustomerName customer, int delta) {
        Map<CustomerName, Integer> next = new HashMap<>(counts);
        int count = counts.getOrDefault(customer, 0) + delta;
        InvariantViolation.check(count >= 0, "connection counts must not be negative");
        if (count == 0) {
            next.remove(customer);
        } else {
            next.put(customer, count);
        }
        return next;
    }

    private static int sum(Map<CustomerName, Integer> counts) {
        int total = 0;
        for (int count : counts.values()) {
            total += count;
        }
        return total;
    }
}
