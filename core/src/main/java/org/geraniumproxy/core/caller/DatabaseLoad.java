package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.balance.LoadEstimate;
import org.geraniumproxy.core.balance.ReportedLoad;
import org.geraniumproxy.core.directory.DatabaseCondition;
import org.geraniumproxy.core.identity.CustomerName;

/**
 * Load of a database as observed by this VM and reported by others.
 *
 * @param outstandingStatements statements of this VM that wait for or use a slot of the database
 * @param latency expected latency of a statement including the network
 * @param avoidUntil time until which reads prefer other databases because this one lags or does not answer
 * @param customersWithIdleConnections customers for which an idle connection to the database exists
 * @param reported load by the other VMs, or empty if no report is known
 * @param serviceTime mean time of the recent answers to this VM and in reports, 0 if there was none
 * @param admittedShare share of its usual reads that the database is given, below 1 if it was ejected
 */
public record DatabaseLoad(
        int outstandingStatements,
        Duration latency,
        Instant avoidUntil,
        Set<CustomerName> customersWithIdleConnections,
        Optional<ReportedLoad> reported,
        Duration serviceTime,
        double admittedShare) {
    /** Load of a database that this VM has not used. */
    public static final DatabaseLoad UNKNOWN =
            observed(0, DatabaseCondition.UNUSED.latency(), DatabaseCondition.UNUSED.avoidUntil(), Set.of());

    /** Makes an unmodifiable copy of the set. */
    public DatabaseLoad {
        customersWithIdleConnections = Set.copyOf(customersWithIdleConnections);
    }

    /**
     * Returns the load that the connection pool of this VM observes.
     *
     * @param outstandingStatements statements of this VM that wait for or use a slot of the database
     * @param latency expected latency of a statement including the network
     * @param avoidUntil time until which reads prefer other databases
     * @param customersWithIdleConnections customers for which an idle connection to the database exists
     * @return the load without any report
     */
    public static DatabaseLoad observed(
            int outstandingStatements,
            Duration latency,
            Instant avoidUntil,
            Set<CustomerName> customersWithIdleConnections) {
        return new DatabaseLoad(
                outstandingStatements,
                latency,
                avoidUntil,
                customersWithIdleConnections,
                Optional.empty(),
                Duration.ZERO,
                1);
    }

    /**
     * Adds what is known for the choice among the databases of a group.
     *
     * @param load load by the other VMs
     * @param recentServiceTime mean time of the recent answers, 0 if there was none
     * @param share share of its usual reads that the database is given
     * @return the load with these figures
     */
    public DatabaseLoad with(Optional<ReportedLoad> load, Duration recentServiceTime, double share) {
        return new DatabaseLoad(
                outstandingStatements,
                latency,
                avoidUntil,
                customersWithIdleConnections,
                load,
                recentServiceTime,
                share);
    }

    /**
     * Returns the expected number of statements in progress.
     *
     * @return estimate from the figures of this VM and of the others
     */
    public LoadEstimate estimate() {
        return new LoadEstimate(outstandingStatements, reported);
    }
}
