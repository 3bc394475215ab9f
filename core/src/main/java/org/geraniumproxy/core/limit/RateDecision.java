package org.geraniumproxy.core.limit;

import java.time.Duration;

/** Whether a request is within its customer's rate and burst. */
public sealed interface RateDecision {
    /** The request took one token. */
    record Admitted() implements RateDecision {}

    /**
     * Every reachable holder of the customer's shares has run out of tokens.
     *
     * @param retryAfter time after which a token is expected
     */
    record Refused(Duration retryAfter) implements RateDecision {}
}
