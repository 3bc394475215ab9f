package org.geraniumproxy.measure.load;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * One request as its caller saw it, with all its calls.
 *
 * @param session name of the session
 * @param customer the customer, empty for a request without a key
 * @param route the route
 * @param operation the operation
 * @param startedAt moment at which the first call was made
 * @param endedAt moment at which the last call ended
 * @param calls number of calls
 * @param hadUnknownOutcome whether a call ended with an unknown outcome
 * @param result how the request ended: unknown if a call ended so and none was answered
 * @param violations guarantees that the answers broke
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
    /** Copies the list. */
    public RequestRecord {
        violations = List.copyOf(violations);
    }

    /**
     * Tells whether the request was answered.
     *
     * @return true if it was
     */
    public boolean isAnswered() {
        return result instanceof CallResult.Answered;
    }

    /**
     * Tells whether the request is an acknowledged write.
     *
     * @return true if it is
     */
    public boolean isAcknowledgedWrite() {
        return isAnswered() && operation.isWrite();
    }

    /**
     * Returns the time from the first call to the end of the last one.
     *
     * @return the duration
     */
    public Duration latency() {
        return Duration.between(startedAt, endedAt);
    }
}
