package org.geraniumproxy.measure.load;

import java.time.Duration;
import org.geraniumproxy.protocol.NotRunReason;

/** Decision of a caller after a call has ended. */
sealed interface RetryDecision {
    /** Used if the proxy requests no delay. Much shorter than a failover and much longer than a call. */
    Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(20);

    /** Upper bound of the delay that a proxy can request. */
    Duration MAXIMUM_RETRY_DELAY = Duration.ofMillis(500);

    /** The result is final. */
    record Finish() implements RetryDecision {}

    /**
     * The caller retries after a delay.
     *
     * @param delay delay before the next call
     */
    record Retry(Duration delay) implements RetryDecision {}

    /**
     * Decides whether to retry. A call that was not run can be retried for any operation, one with an unknown outcome
     * only if the operation is repeatable. A refusal for a permanent reason is final.
     *
     * @param operation operation of the call
     * @param result result of the call
     * @param remaining time until the request times out
     * @return finish if the call must not be retried or the delay exceeds the remaining time
     */
    static RetryDecision decide(Operation operation, CallResult result, Duration remaining) {
        Duration delay = switch (result) {
            case CallResult.Answered answered -> Duration.ZERO;
            case CallResult.NotRun notRun -> retryDelay(notRun);
            case CallResult.Unknown unknown -> operation.isRepeatable() ? DEFAULT_RETRY_DELAY : Duration.ZERO;
        };
        if (delay.isZero() || delay.compareTo(remaining) >= 0) {
            return new Finish();
        }
        return new Retry(delay);
    }

    private static Duration retryDelay(CallResult.NotRun notRun) {
        if (!isTransient(notRun.reason())) {
            return Duration.ZERO;
        }
        if (notRun.retryAfter().isZero()) {
            return DEFAULT_RETRY_DELAY;
        }
        return notRun.retryAfter().compareTo(MAXIMUM_RETRY_DELAY) > 0 ? MAXIMUM_RETRY_DELAY : notRun.retryAfter();
    }

    private static boolean isTransient(NotRunReason reason) {
        return switch (reason) {
            case DEADLINE_UNREACHABLE,
                    VIEW_TOO_OLD,
                    DRAINING,
                    NO_PRIMARY,
                    NO_REPLICA_WITHIN_AGE,
                    NOT_COORDINATOR,
                    BACKEND_REFUSED,
                    UNREACHABLE -> true;
            default -> false;
        };
    }
}
