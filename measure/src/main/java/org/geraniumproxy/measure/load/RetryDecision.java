package org.geraniumproxy.measure.load;

import java.time.Duration;
import org.geraniumproxy.protocol.NotRunReason;

/** What a caller does after a call has ended. */
sealed interface RetryDecision {
    /** Pause before a retry when the proxy names none: short against a failover, long against a call. */
    Duration DEFAULT_PAUSE = Duration.ofMillis(20);

    /** Longest pause before a retry. */
    Duration MAXIMUM_PAUSE = Duration.ofMillis(500);

    /** The result stands. */
    record Finish() implements RetryDecision {}

    /**
     * The caller calls another proxy after a pause.
     *
     * @param pause the pause
     */
    record Retry(Duration pause) implements RetryDecision {}

    /**
     * Decides after a call. A call that was not run may always be made again, one with an unknown outcome only if it is
     * repeatable. A refusal that would come again is final.
     *
     * @param operation the operation
     * @param result how the call ended
     * @param remaining time that the caller still has
     * @return the decision
     */
    static RetryDecision after(Operation operation, CallResult result, Duration remaining) {
        Duration pause = switch (result) {
            case CallResult.Answered answered -> Duration.ZERO;
            case CallResult.NotRun notRun -> pauseAfter(notRun);
            case CallResult.Unknown unknown -> operation.isRepeatable() ? DEFAULT_PAUSE : Duration.ZERO;
        };
        if (pause.isZero() || pause.compareTo(remaining) >= 0) {
            return new Finish();
        }
        return new Retry(pause);
    }

    private static Duration pauseAfter(CallResult.NotRun notRun) {
        if (!isTransient(notRun.reason())) {
            return Duration.ZERO;
        }
        if (notRun.retryAfter().isZero()) {
            return DEFAULT_PAUSE;
        }
        return notRun.retryAfter().compareTo(MAXIMUM_PAUSE) > 0 ? MAXIMUM_PAUSE : notRun.retryAfter();
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
