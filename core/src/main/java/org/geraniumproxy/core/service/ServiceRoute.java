package org.geraniumproxy.core.service;

import java.time.Duration;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RouteName;

/**
 * A database name that callers connect to, with the rules for serving their statements.
 *
 * @param name name of the route
 * @param database database name that callers connect to
 * @param group database group that serves the route
 * @param consistency consistency guarantee for reads
 * @param maximumStaleness maximum age of the data of a read, zero for {@link Consistency#PRIMARY}
 * @param statementTimeout maximum time for one statement, positive
 * @param targetLatency time within which an operation should be answered
 * @param priority priority of the operations; 0 is the highest
 * @param allowsAnonymous whether callers may connect without a key
 * @param regionsAllowed regions in which its statements may run
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
        boolean allowsAnonymous,
        AllowedRegions regionsAllowed) {
    /** A fifth of the target latency, because a refusal must not come later than a quarter of the target latency. */
    private static final int TOKEN_WAIT_DIVISOR = 5;

    /** A fifth of 400 ms, the shortest target latency of the users' routes. */
    private static final Duration MAXIMUM_TOKEN_WAIT = Duration.ofMillis(80);

    /** Each priority step shortens the wait by 1 / 8. */
    private static final int PRIORITY_DIVISOR = 8;

    /** Lowest priority that shortens the wait further; the users' routes have priorities from 1 to 3. */
    private static final int LOWEST_PRIORITY = 4;

    /**
     * Creates a route whose statements may run in all regions.
     *
     * @param name name of the route
     * @param database database name that callers connect to
     * @param group database group that serves the route
     * @param consistency consistency guarantee for reads
     * @param maximumStaleness maximum age of the data of a read
     * @param statementTimeout maximum time for one statement, positive
     * @param targetLatency time within which an operation should be answered
     * @param priority priority of the operations; 0 is the highest
     * @param allowsAnonymous whether callers may connect without a key
     */
    public ServiceRoute(
            RouteName name,
            String database,
            GroupName group,
            Consistency consistency,
            Duration maximumStaleness,
            Duration statementTimeout,
            Duration targetLatency,
            int priority,
            boolean allowsAnonymous) {
        this(
                name,
                database,
                group,
                consistency,
                maximumStaleness,
                statementTimeout,
                targetLatency,
                priority,
                allowsAnonymous,
                AllowedRegions.ALL);
    }

    /**
     * Validates timeout, staleness and priority.
     *
     * @throws IllegalArgumentException if the timeout is not positive, or the staleness or priority is negative
     */
    public ServiceRoute {
        if (!statementTimeout.isPositive()) {
            throw new IllegalArgumentException("statement timeout must be positive on route " + name);
        }
        if (maximumStaleness.isNegative()) {
            throw new IllegalArgumentException("maximum staleness must not be negative on route " + name);
        }
        if (priority < 0) {
            throw new IllegalArgumentException("priority must not be negative on route " + name);
        }
    }

    /**
     * Returns how long an operation waits for a token of its customer's rate limiter before it is refused. If a
     * customer exceeds its rate, operations with a shorter wait are refused first. The wait is therefore capped for
     * long target latencies, and it is shorter on routes of lower priority.
     *
     * @return the maximum wait
     */
    public Duration maximumTokenWait() {
        Duration latencyPart = targetLatency.dividedBy(TOKEN_WAIT_DIVISOR);
        Duration bounded = latencyPart.compareTo(MAXIMUM_TOKEN_WAIT) < 0 ? latencyPart : MAXIMUM_TOKEN_WAIT;
        return bounded.multipliedBy(PRIORITY_DIVISOR - Math.min(priority, LOWEST_PRIORITY))
                .dividedBy(PRIORITY_DIVISOR);
    }
}
