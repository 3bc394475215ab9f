package org.geraniumproxy.core.limit;

import java.time.Duration;

/** Decision whether a request is within its customer's rate and burst. */
public sealed interface RateDecision {
    /** The request has consumed one token. */
    record Admitted() implements RateDecision {}

    /**
     * No token became available: every reachable holder of the customer's shares is empty, or the deadline passed.
     *
     * @param retryAfter time after which a token is expected
     */
    record Refused(Duration retryAfter) implements RateDecision {}
}
