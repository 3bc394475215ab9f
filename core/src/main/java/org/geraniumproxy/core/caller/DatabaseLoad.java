package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseCondition;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * How busy a database is as seen from this VM.
 *
 * @param outstandingStatements statements that wait for it or run there, of this VM
 * @param latency usual time of a statement there, network included
 * @param avoidUntil moment until which reads go elsewhere because it lags or does not answer
 * @param customersWithIdleConnections customers with an idle connection there
 */
public record DatabaseLoad(
        int outstandingStatements,
        Duration latency,
        Instant avoidUntil,
        Set<CustomerName> customersWithIdleConnections) {
    /** Assumed for a database that this VM has not used. */
    public static final DatabaseLoad UNKNOWN =
            new DatabaseLoad(0, DatabaseCondition.UNUSED.latency(), DatabaseCondition.UNUSED.avoidUntil(), Set.of());

    /** Copies the set. */
    public DatabaseLoad {
        customersWithIdleConnections = Set.copyOf(customersWithIdleConnections);
    }
}
