package org.geraniumproxy.proxy.limit;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.limit.RateDecision;

/** Enforces the rate and burst of each customer across all VMs. */
public interface RateLimiter {
    /**
     * Takes one token for a request. If this VM has none, waits for tokens borrowed from another VM.
     *
     * @param customer the customer whose limit applies
     * @param deadline moment at which the request is no longer wanted
     * @return the decision; completes at the deadline at the latest
     */
    CompletableFuture<RateDecision> acquire(CustomerName customer, Instant deadline);
}
