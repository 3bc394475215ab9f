package org.geraniumproxy.measure.load;

import java.time.Duration;
import org.geraniumproxy.protocol.NotRunReason;

/** What a caller does after a call has ended. */
sealed interface RetryDecision {
    /** Pause before a retry when the proxy names none: short against a failover, long against a call. */
    Duration DEFAULT_RETRY_DELAY = Duration.ofMillis(20);

    /** Longest pause before a retry. */
    Duration MAXIMUM_RETRY_DELAY = Duration.ofMillis(500);

    /** The result stands. */
    record Finish() implements RetryDecision {}

    /**
     * The caller calls another proxy after a pause.
     *
     * @param delay the pause
     */
    record Retry(Duration delay) implements RetryDecision {}

    /**
     * Decides after a call. A call that was not run may always be made again, one with an unknown outcome only if it is
     * repeatable. A refusal that would come again is final.
     *
     * @param operation the operation
     * @param result how the call ended
     * @param remaining time that the caller still has
     * @return the decision
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
