package org.geraniumproxy.core.balance;

import java.time.Duration;

/**
 * Load of a database by the statements of the VMs that the sender speaks for.
 *
 * @param outstanding statements that wait for or use a slot of the database
 * @param responses recent responses of the database to these VMs
 * @param age mean age of the figures when the report was sent
 */
public record LoadReport(int outstanding, ResponseSummary responses, Duration age) {
    /**
     * Validates the figures.
     *
     * @throws IllegalArgumentException if a number or the age is negative
     */
    public LoadReport {
        if (outstanding < 0 || age.isNegative()) {
            throw new IllegalArgumentException("a load report must not contain negative figures");
        }
    }
}
