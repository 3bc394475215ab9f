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
     * @param reason why there is no other try
     */
    record Stop(StopReason reason) implements RetryDecision {}

    /** Why a request is not tried again. */
    enum StopReason {
        /** The request ran. */
        ANSWERED,
        /** The request may have run and must not run twice. */
        NOT_REPEATABLE_REQUEST,
        /** Another try would get the same refusal. */
        NOT_RETRYABLE_REJECTION,
        /** The deadline would pass before the next try. */
        DEADLINE_EXCEEDED,
        /** The retry budget is empty. */
        BUDGET_EXHAUSTED
    }

    /** Wait before the first retry; each further one waits twice as long. */
    Duration INITIAL_DELAY = Duration.ofMillis(5);

    /** Longest wait before a retry. */
    Duration MAXIMUM_DELAY = Duration.ofMillis(160);

    /** Doublings after which the delay has reached its longest value. */
    int MAXIMUM_DOUBLINGS = 5;

    /**
     * Decides on a retry. A request that may not be repeated is tried again only if it was not run, which is the same
     * as never having been sent to a backend server that took it.
     *
     * @param outcome outcome of the last try
     * @param repeatable whether the request may run more than once
     * @param attempts tries so far, at least one
     * @param budget the retry budget
     * @param deadline moment at which the caller stops waiting
     * @param now the present moment
     * @return the decision
     */
    static RetryDecision of(
            Outcome outcome, boolean repeatable, int attempts, RetryBudget budget, Instant deadline, Instant now) {
        return switch (outcome) {
            case Outcome.Answered _ -> new Stop(StopReason.ANSWERED);
            case Outcome.Unknown _ when !repeatable -> new Stop(StopReason.NOT_REPEATABLE_REQUEST);
            case Outcome.Unknown _ -> retryIfAllowed(backoffDelay(attempts), budget, deadline, now);
            case Outcome.NotRun notRun
            when !isRetryable(notRun.reason()) -> new Stop(StopReason.NOT_RETRYABLE_REJECTION);
            case Outcome.NotRun notRun ->
                retryIfAllowed(maximum(backoffDelay(attempts), notRun.retryAfter()), budget, deadline, now);
        };
    }

    private static RetryDecision retryIfAllowed(Duration delay, RetryBudget budget, Instant deadline, Instant now) {
        if (!now.plus(delay).isBefore(deadline)) {
            return new Stop(StopReason.DEADLINE_EXCEEDED);
        }
        return budget.allowsRetry() ? new Retry(delay, budget.afterRetry()) : new Stop(StopReason.BUDGET_EXHAUSTED);
    }

    /** Refusals that another try, at the new coordinator or primary, may avoid. */
    private static boolean isRetryable(NotRunReason reason) {
        return switch (reason) {
            case NOT_COORDINATOR, NO_PRIMARY, UNREACHABLE, BACKEND_REFUSED -> true;
            default -> false;
        };
    }

    private static Duration backoffDelay(int attempts) {
        Duration doubled = INITIAL_DELAY.multipliedBy(1L << Math.min(attempts - 1, MAXIMUM_DOUBLINGS));
        return doubled.compareTo(MAXIMUM_DELAY) < 0 ? doubled : MAXIMUM_DELAY;
    }

    private static Duration maximum(Duration first, Duration second) {
        return first.compareTo(second) >= 0 ? first : second;
    }
}
