package org.geraniumproxy.core.outcome;

import java.time.Duration;
import java.time.Instant;

/** Decision whether a request is retried. */
public sealed interface RetryDecision {
    /**
     * The request is sent again.
     *
     * @param delay backoff before the next attempt
     * @param budget remaining budget
     */
    record Retry(Duration delay, RetryBudget budget) implements RetryDecision {}

    /**
     * The outcome of the last attempt is returned to the caller.
     *
     * @param reason why the request is not retried
     */
    record Stop(StopReason reason) implements RetryDecision {}

    /** Reason why a request is not retried. */
    enum StopReason {
        /** The request ran. */
        ANSWERED,
        /** The outcome is unknown and the request must not run twice. */
        NOT_REPEATABLE_REQUEST,
        /** Another attempt would be rejected for the same reason. */
        NOT_RETRYABLE_REJECTION,
        /** The deadline would pass before the next attempt. */
        DEADLINE_EXCEEDED,
        /** The retry budget is empty. */
        BUDGET_EXHAUSTED
    }

    /** Backoff before the first retry. It doubles with each further retry. */
    Duration INITIAL_DELAY = Duration.ofMillis(5);

    /** Maximum backoff before a retry. */
    Duration MAXIMUM_DELAY = Duration.ofMillis(160);

    /** Doublings after which the backoff reaches its maximum. The bound keeps the shift from overflowing. */
    int MAXIMUM_DOUBLINGS = 5;

    /**
     * Decides whether to retry a request. A request that is not repeatable is retried only if it was not run, which
     * means that no backend server accepted it.
     *
     * @param outcome outcome of the last attempt
     * @param repeatable whether the request may run more than once
     * @param attempts number of attempts so far, at least one
     * @param budget remaining retry budget
     * @param deadline time at which the caller stops waiting
     * @param now current time
     * @return a retry, or the reason to stop
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

    /** Tells whether another attempt, at the new coordinator or primary, may succeed. */
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
