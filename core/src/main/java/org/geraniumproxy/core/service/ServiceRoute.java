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
 * @param acceptedAge greatest age of the data of a read; zero for {@link Consistency#PRIMARY}
 * @param statementTimeout longest time for one statement
 * @param targetLatency time in which an operation is expected to be answered
 * @param open whether callers need no key
 */
public record ServiceRoute(
        RouteName name,
        String database,
        GroupName group,
        Consistency consistency,
        Duration acceptedAge,
        Duration statementTimeout,
        Duration targetLatency,
        boolean open) {
    /**
     * Validates the durations.
     *
     * @throws IllegalArgumentException if the timeout is not positive or the accepted age is negative
     */
    public ServiceRoute {
        if (!statementTimeout.isPositive()) {
            throw new IllegalArgumentException("statement timeout must be positive on route " + name);
        }
        if (acceptedAge.isNegative()) {
            throw new IllegalArgumentException("accepted age must not be negative on route " + name);
        }
    }
}
