package org.geraniumproxy.standin.database;

import java.time.Duration;

/**
 * Limits and costs of a database.
 *
 * @param slots statements that run at once
 * @param connections connections that may be open or opening at once
 * @param connectionCost time to open a connection
 * @param statementTime time that a statement occupies its slot
 * @param replicationLag time from the arrival of an entry at a replica to its application
 */
public record DatabaseSettings(
        int slots, int connections, Duration connectionCost, Duration statementTime, Duration replicationLag) {
    /** Limits that tests with in-process channels can use: no cost and no lag. */
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
