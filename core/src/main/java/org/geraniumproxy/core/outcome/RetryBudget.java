package org.geraniumproxy.core.outcome;

import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Budget of retries in hundredths of a retry. Each request adds a tenth of a retry, so that retries add at most a tenth
 * to the load of an overloaded backend server; a full budget allows a few retries at low traffic.
 *
 * @param hundredths retries left, in hundredths
 */
public record RetryBudget(int hundredths) {
    /** Retries in a full budget. */
    public static final int FULL_BUDGET_RETRIES = 10;

    /** Hundredths of a retry that each request adds: 10% of the requests. */
    public static final int HUNDREDTHS_PER_REQUEST = 10;

    private static final int HUNDREDTHS_PER_RETRY = 100;
    private static final int MAXIMUM_HUNDREDTHS = FULL_BUDGET_RETRIES * HUNDREDTHS_PER_RETRY;

    /** A full budget. */
    public static final RetryBudget FULL = new RetryBudget(MAXIMUM_HUNDREDTHS);

    /** Checks the budget. */
    public RetryBudget {
        InvariantViolation.check(
                hundredths >= 0 && hundredths <= MAXIMUM_HUNDREDTHS, "a retry budget stays between empty and full");
    }

    /**
     * Counts a first try.
     *
     * @return the budget after it
     */
    public RetryBudget afterRequest() {
        return new RetryBudget(Math.min(MAXIMUM_HUNDREDTHS, hundredths + HUNDREDTHS_PER_REQUEST));
    }

    /**
     * Tells whether a retry is left.
     *
     * @return true if there is one
     */
    public boolean allowsRetry() {
        return hundredths >= HUNDREDTHS_PER_RETRY;
    }

    /**
     * Counts a retry.
     *
     * @return the budget after it
     */
    public RetryBudget afterRetry() {
        return new RetryBudget(hundredths - HUNDREDTHS_PER_RETRY);
    }
}
