package org.geraniumproxy.core.pool;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * Connections of one VM to one database by the customer for whom they were opened.
 *
 * @param idle idle connections
 * @param opening connections that are being opened
 * @param held connections that requests hold
 * @param usedAt moment at which a connection of the customer was last used
 */
record CustomerConnections(
        Map<CustomerName, Integer> idle,
        Map<CustomerName, Integer> opening,
        int held,
        Map<CustomerName, Instant> usedAt) {
    static final CustomerConnections NONE = new CustomerConnections(Map.of(), Map.of(), 0, Map.of());

    CustomerConnections {
        idle = Map.copyOf(idle);
        opening = Map.copyOf(opening);
        usedAt = Map.copyOf(usedAt);
        InvariantViolation.check(held >= 0, "connections are never counted below zero");
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
        return held + sum(idle) + sum(opening);
    }

    CustomerConnections open(CustomerName customer) {
        return new CustomerConnections(idle, changed(opening, customer, 1), held, usedAt);
    }

    CustomerConnections opened(CustomerName customer, Instant now) {
        return new CustomerConnections(
                changed(idle, customer, 1), changed(opening, customer, -1), held, used(customer, now));
    }

    CustomerConnections failed(CustomerName customer) {
        return new CustomerConnections(idle, changed(opening, customer, -1), held, usedAt);
    }

    CustomerConnections hold(CustomerName customer, Instant now) {
        return new CustomerConnections(changed(idle, customer, -1), opening, held + 1, used(customer, now));
    }

    CustomerConnections giveBack(CustomerName customer, boolean clean, Instant now) {
        Map<CustomerName, Integer> next = clean ? changed(idle, customer, 1) : idle;
        return new CustomerConnections(next, opening, held - 1, used(customer, now));
    }

    CustomerConnections loseIdle(CustomerName customer) {
        return new CustomerConnections(changed(idle, customer, -1), opening, held, usedAt);
    }

    /** The customer whose idle connection was used longest ago, without those that are wanted. */
    Optional<CustomerName> idleLongest(Map<CustomerName, Integer> wanted) {
        return idle.keySet().stream()
                .filter(customer -> !wanted.containsKey(customer))
                .min((one, other) -> usedAt.get(one).compareTo(usedAt.get(other)));
    }

    /** The customer whose idle connection was used longest ago, if that was before a moment. */
    Optional<CustomerName> idleSince(Instant moment) {
        return idleLongest(Map.of()).filter(customer -> usedAt.get(customer).isBefore(moment));
    }

    private Map<CustomerName, Instant> used(CustomerName customer, Instant now) {
        Map<CustomerName, Instant> next = new HashMap<>(usedAt);
        next.put(customer, now);
        return next;
    }

    private static Map<CustomerName, Integer> changed(
            Map<CustomerName, Integer> counts, CustomerName customer, int change) {
        Map<CustomerName, Integer> next = new HashMap<>(counts);
        int count = counts.getOrDefault(customer, 0) + change;
        InvariantViolation.check(count >= 0, "connections are never counted below zero");
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
