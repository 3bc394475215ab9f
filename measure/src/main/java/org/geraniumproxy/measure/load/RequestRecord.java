package org.geraniumproxy.measure.load;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * One request with all its calls, as observed by the caller.
 *
 * @param session name of the session
 * @param customer name of the customer
 * @param route name of the route
 * @param operation the requested operation
 * @param startedAt start of the first call
 * @param endedAt end of the last call
 * @param calls number of calls
 * @param hadUnknownOutcome whether a call ended with an unknown outcome
 * @param result result of the last call; unknown instead of not run if an earlier call ended with an unknown outcome
 * @param violations guarantees that the answers violated
 */
public record RequestRecord(
        String session,
        String customer,
        String route,
        Operation operation,
        Instant startedAt,
        Instant endedAt,
        int calls,
        boolean hadUnknownOutcome,
        CallResult result,
        List<GuaranteeViolation> violations) {
    /** Makes an unmodifiable copy of the list. */
    public RequestRecord {
        violations = List.copyOf(violations);
    }

    /**
     * Returns whether the request was answered.
     *
     * @return false if it was not run or its outcome is unknown
     */
    public boolean isAnswered() {
        return result instanceof CallResult.Answered;
    }

    /**
     * Returns whether the request is an acknowledged write.
     *
     * @return true for an answered write
     */
    public boolean isAcknowledgedWrite() {
        return isAnswered() && operation.isWrite();
    }

    /**
     * Returns the time from the first call to the end of the last one.
     *
     * @return latency including retries and their delays
     */
    public Duration latency() {
        return Duration.between(startedAt, endedAt);
    }
}
