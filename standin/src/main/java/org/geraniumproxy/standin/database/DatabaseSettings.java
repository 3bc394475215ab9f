package org.geraniumproxy.standin.database;

import java.time.Duration;

/**
 * Limits and simulated delays of a database.
 *
 * @param slots maximum number of concurrent statements
 * @param connections maximum number of connections that are open or opening
 * @param connectionCost time to open a connection
 * @param statementTime time that a statement occupies its slot
 * @param replicationLag time between the arrival of a log entry at a replica and its application
 */
public record DatabaseSettings(
        int slots, int connections, Duration connectionCost, Duration statementTime, Duration replicationLag) {
    /** No delays, and limits that are high enough for most tests. */
    public static final DatabaseSettings INSTANT =
            new DatabaseSettings(64, 256, Duration.ZERO, Duration.ZERO, Duration.ZERO);

    /**
     * Validates the settings.
     *
     * @throws IllegalArgumentException if a number is below one or a duration is negative
     */
    public DatabaseSettings {
        if (slots < 1 || connections < 1) {
            throw new IllegalArgumentException("slots and connections must be at least 1");
        }
        if (connectionCost.isNegative() || statementTime.isNegative() || replicationLag.isNegative()) {
            throw new IllegalArgumentException("durations must not be negative");
        }
    }
}
