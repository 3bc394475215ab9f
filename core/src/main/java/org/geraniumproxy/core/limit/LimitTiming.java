package org.geraniumproxy.core.limit;

import java.time.Duration;
import org.geraniumproxy.core.control.ControlSnapshot;

/**
 * Durations on which the safety of the rate limit depends. Tests shorten them to show that each is necessary.
 *
 * @param maximumViewAge maximum age of the view at which a VM uses its shares
 * @param borrowerValidity time during which a borrower may use tokens, from when it sent the request
 * @param lenderValidity time after which a lender counts unreported tokens as spent, from when it granted them
 * @param increaseDelay time between a change of holders and the use of a larger share
 */
public record LimitTiming(
        Duration maximumViewAge, Duration borrowerValidity, Duration lenderValidity, Duration increaseDelay) {
    /** Standard validity of a loan. */
    public static final Duration LOAN_VALIDITY = Duration.ofSeconds(1);

    /**
     * Timing that keeps the limit safe. A VM that has not learned of a change of holders stops using its share within
     * the maximum view age, and its last loans expire one loan validity later.
     */
    public static final LimitTiming STANDARD = new LimitTiming(
            ControlSnapshot.MAXIMUM_VIEW_AGE,
            LOAN_VALIDITY,
            LOAN_VALIDITY,
            ControlSnapshot.MAXIMUM_VIEW_AGE.plus(LOAN_VALIDITY));

    /**
     * Returns a timing with a different validity at the lender.
     *
     * @param validity time after which the lender counts unreported tokens as spent
     * @return the timing
     */
    public LimitTiming withLenderValidity(Duration validity) {
        return new LimitTiming(maximumViewAge, borrowerValidity, validity, increaseDelay);
    }

    /**
     * Returns a timing with a different delay before a larger share is used.
     *
     * @param delay time between a change of holders and the use of a larger share
     * @return the timing
     */
    public LimitTiming withIncreaseDelay(Duration delay) {
        return new LimitTiming(maximumViewAge, borrowerValidity, lenderValidity, delay);
    }

    /** Returns how long after a change of holders the view must have been confirmed before a larger share is used. */
    Duration proofDelay() {
        Duration delay = increaseDelay.minus(borrowerValidity);
        return delay.isNegative() ? Duration.ZERO : delay;
    }
}
