package org.geraniumproxy.core.outcome;

import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Token bucket that limits retries. Each request adds a tenth of a retry, so that retries add at most 10% to the load
 * of an overloaded backend server. A full budget allows a few retries at low traffic.
 *
 * @param hundredths remaining retries in hundredths of a retry
 */
public record RetryBudget(int hundredths) {
    /** Retries in a full budget. */
    public static final int FULL_BUDGET_RETRIES = 10;

    /** Hundredths of a retry that each request adds, which allows retries for 10% of the requests. */
    public static final int HUNDREDTHS_PER_REQUEST = 10;

    private static final int HUNDREDTHS_PER_RETRY = 100;
    private static final int MAXIMUM_HUNDREDTHS = FULL_BUDGET_RETRIES * HUNDREDTHS_PER_RETRY;

    /** A full budget. */
    public static final RetryBudget FULL = new RetryBudget(MAXIMUM_HUNDREDTHS);

    /**
     * Validates the budget.
     *
     * @throws InvariantViolation if the budget is negative or more than full
     */
    public RetryBudget {
        InvariantViolation.check(
                hundredths >= 0 && hundredths <= MAXIMUM_HUNDREDTHS, "a retry budget stays between empty and full");
    }

    /**
     * Adds the share of a retry that a new request earns.
     *
     * @return the budget, at most a full one
     */
    public RetryBudget afterRequest() {
        return new RetryBudget(Math.min(MAXIMUM_HUNDREDTHS, hundredths + HUNDREDTHS_PER_REQUEST));
    }

    /**
     * Tells whether the budget allows a retry.
     *
     * @return true if at least one whole retry is left
     */
    public boolean allowsRetry() {
        return hundredths >= HUNDREDTHS_PER_RETRY;
    }

    /**
     * Takes one retry from the budget.
     *
     * @return the remaining budget
     * @throws InvariantViolation if no retry is left
     */
    public RetryBudget afterRetry() {
        return new RetryBudget(hundredths - HUNDREDTHS_PER_RETRY);
    }
}
