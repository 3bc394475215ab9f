package org.geraniumproxy.core.limit;

import java.time.Duration;
import org.geraniumproxy.core.control.ControlSnapshot;

/**
 * Durations that the safety of the rate limit depends on. Tests weaken them to show that each is needed.
 *
 * @param maximumViewAge greatest age of a view at which a VM uses its shares
 * @param borrowerValidity time from the sending of a request for tokens during which the borrower may use them
 * @param lenderValidity time from the granting after which the lender counts unreported tokens as spent
 * @param increaseDelay time after a change of holders before a larger share is used
 */
public record LimitTiming(
        Duration maximumViewAge, Duration borrowerValidity, Duration lenderValidity, Duration increaseDelay) {
    /** Validity of a loan. */
    public static final Duration LOAN_VALIDITY = Duration.ofSeconds(1);

    /**
     * The timing that keeps the limit. A VM that has not learned of a change of holders stops within the view bound,
     * and its last loans end one validity later.
     */
    public static final LimitTiming STANDARD = new LimitTiming(
            ControlSnapshot.MAXIMUM_VIEW_AGE,
            LOAN_VALIDITY,
            LOAN_VALIDITY,
            ControlSnapshot.MAXIMUM_VIEW_AGE.plus(LOAN_VALIDITY));

    /**
     * Returns a timing with another validity at the lender.
     *
     * @param validity time after which the lender counts tokens as spent
     * @return the timing
     */
    public LimitTiming withLenderValidity(Duration validity) {
        return new LimitTiming(maximumViewAge, borrowerValidity, validity, increaseDelay);
    }

    /**
     * Returns a timing with another delay before a larger share is used.
     *
     * @param delay the delay
     * @return the timing
     */
    public LimitTiming withIncreaseDelay(Duration delay) {
        return new LimitTiming(maximumViewAge, borrowerValidity, lenderValidity, delay);
    }

    /** Time after a change that a view must have been proven before a larger share is used. */
    Duration proofDelay() {
        Duration delay = increaseDelay.minus(borrowerValidity);
        return delay.isNegative() ? Duration.ZERO : delay;
    }
}
