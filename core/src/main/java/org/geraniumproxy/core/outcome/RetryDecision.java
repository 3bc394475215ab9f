package org.geraniumproxy.core.outcome;

import java.time.Duration;
import java.time.Instant;

/** Whether a request is tried again. */
public sealed interface RetryDecision {
    /**
     * Try again.
     *
     * @param delay wait before the next try
     * @param budget budget after the retry
     */
    record Retry(Duration delay, RetryBudget budget) implements RetryDecision {}

    /**
     * Answer the caller with the outcome of the last try.
     *
     * @param cause why there is no other try
     */
    record Stop(StopCause cause) implements RetryDecision {}

    /** Why a request is not tried again. */
    enum StopCause {
        /** The request ran. */
        ANSWERED,
        /** The request may have run and must not run twice. */
        NOT_REPEATABLE,
        /** Another try would get the same refusal. */
        FINAL_REFUSAL,
        /** The deadline would pass before the next try. */
        DEADLINE,
        /** The retry budget is empty. */
        BUDGET
    }

    /** Wait before the first retry; each further one waits twice as long. */
    Duration FIRST_DELAY = Duration.ofMillis(5);

    /** Longest wait before a retry. */
    Duration LONGEST_DELAY = Duration.ofMillis(160);

    /** Doublings after which the delay has reached its longest value. */
    int MOST_DOUBLINGS = 5;

    /**
     * Decides on a retry. A request that may not be repeated is tried again only if it was not run, which is the same
     * as never having been sent to a backend server that took it.
     *
     * @param outcome outcome of the last try
     * @param repeatable whether the request may run more than once
     * @param tries tries so far, at least one
     * @param budget the retry budget
     * @param deadline moment at which the caller stops waiting
     * @param now the present moment
     * @return the decision
     */
    static RetryDecision of(
            Outcome outcome, boolean repeatable, int tries, RetryBudget budget, Instant deadline, Instant now) {
        return switch (outcome) {
            case Outcome.Answered _ -> new Stop(StopCause.ANSWERED);
            case Outcome.Unknown _ when !repeatable -> new Stop(StopCause.NOT_REPEATABLE);
            case Outcome.Unknown _ -> within(delay(tries), budget, deadline, now);
            case Outcome.NotRun notRun when !isTransient(notRun.reason()) -> new Stop(StopCause.FINAL_REFUSAL);
            case Outcome.NotRun notRun -> within(longer(delay(tries), notRun.retryAfter()), budget, deadline, now);
        };
    }

    private static RetryDecision within(Duration delay, RetryBudget budget, Instant deadline, Instant now) {
        if (!now.plus(delay).isBefore(deadline)) {
            return new Stop(StopCause.DEADLINE);
        }
        return budget.allowsRetry() ? new Retry(delay, budget.withRetry()) : new Stop(StopCause.BUDGET);
    }

    /** Refusals that another try, at the new coordinator or primary, may avoid. */
    private static boolean isTransient(NotRunReason reason) {
        return switch (reason) {
            case NOT_COORDINATOR, NO_PRIMARY, UNREACHABLE, BACKEND_REFUSED -> true;
            default -> false;
        };
    }

    private static Duration delay(int tries) {
        Duration doubled = FIRST_DELAY.multipliedBy(1L << Math.min(tries - 1, MOST_DOUBLINGS));
        return doubled.compareTo(LONGEST_DELAY) < 0 ? doubled : LONGEST_DELAY;
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }
}
