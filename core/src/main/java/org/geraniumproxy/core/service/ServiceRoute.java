package org.geraniumproxy.core.service;

import java.time.Duration;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;

/**
 * The database name that callers connect to, and how their statements are served.
 *
 * @param name name of the route
 * @param database the database name that callers give when they connect
 * @param group the database group that serves the route
 * @param consistency what reads may miss
 * @param maximumStaleness greatest age of the data of a read; zero for {@link Consistency#PRIMARY}
 * @param statementTimeout longest time for one statement
 * @param targetLatency time in which an operation is expected to be answered
 * @param priority importance of its operations; 0 is the highest
 * @param allowsAnonymous whether callers need no key
 */
public record ServiceRoute(
        RouteName name,
        String database,
        GroupName group,
        Consistency consistency,
        Duration maximumStaleness,
        Duration statementTimeout,
        Duration targetLatency,
        int priority,
        boolean allowsAnonymous) {
    /** An operation that is refused in the end must not have waited longer than a quarter of its target latency. */
    private static final int TOKEN_WAIT_DIVISOR = 5;

    /** The part of the shortest target latency of the users' routes, 400 ms. */
    private static final Duration MAXIMUM_TOKEN_WAIT = Duration.ofMillis(80);

    /** Each step of the priority shortens the wait by one part in this many. */
    private static final int PRIORITY_DIVISOR = 8;

    /** Priority below which nothing waits shorter; the users' routes have priorities from 1 to 3. */
    private static final int LOWEST_PRIORITY = 4;

    /**
     * Validates the durations.
     *
     * @throws IllegalArgumentException if the timeout is not positive or the accepted age is negative
     */
    public ServiceRoute {
        if (!statementTimeout.isPositive()) {
            throw new IllegalArgumentException("statement timeout must be positive on route " + name);
        }
        if (maximumStaleness.isNegative()) {
            throw new IllegalArgumentException("accepted age must not be negative on route " + name);
        }
        if (priority < 0) {
            throw new IllegalArgumentException("priority must not be negative on route " + name);
        }
    }

    /**
     * Returns how long an operation waits for a token of its customer before it is refused. Where a customer asks for
     * more than its rate the wait decides who is refused, so it does not grow with the target latency, and it is
     * shorter on less important routes.
     *
     * @return the longest wait
     */
    public Duration maximumTokenWait() {
        Duration latencyPart = targetLatency.dividedBy(TOKEN_WAIT_DIVISOR);
        Duration bounded = latencyPart.compareTo(MAXIMUM_TOKEN_WAIT) < 0 ? latencyPart : MAXIMUM_TOKEN_WAIT;
        return bounded.multipliedBy(PRIORITY_DIVISOR - Math.min(priority, LOWEST_PRIORITY))
                .dividedBy(PRIORITY_DIVISOR);
    }
}
