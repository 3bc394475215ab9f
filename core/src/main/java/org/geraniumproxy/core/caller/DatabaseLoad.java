package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseCondition;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * Load of a database as observed by this VM.
 *
 * @param outstandingStatements statements of this VM that wait for or use a slot of the database
 * @param latency expected latency of a statement including the network
 * @param avoidUntil time until which reads prefer other databases because this one lags or does not answer
 * @param customersWithIdleConnections customers for which an idle connection to the database exists
 */
public record DatabaseLoad(
        int outstandingStatements,
        Duration latency,
        Instant avoidUntil,
        Set<CustomerName> customersWithIdleConnections) {
    /** Load of a database that this VM has not used. */
    public static final DatabaseLoad UNKNOWN =
            new DatabaseLoad(0, DatabaseCondition.UNUSED.latency(), DatabaseCondition.UNUSED.avoidUntil(), Set.of());

    /** Makes an unmodifiable copy of the set. */
    public DatabaseLoad {
        customersWithIdleConnections = Set.copyOf(customersWithIdleConnections);
    }
}
