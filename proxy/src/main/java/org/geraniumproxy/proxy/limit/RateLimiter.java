package org.geraniumproxy.proxy.limit;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.limit.RateDecision;

/** Keeps customers to their rate and burst over all VMs. */
public interface RateLimiter {
    /**
     * Takes one token for a request; waits for a loan if this VM has none.
     *
     * @param customer the customer
     * @param deadline moment at which the request is no longer wanted
     * @return the decision, at the latest at the deadline
     */
    CompletableFuture<RateDecision> acquire(CustomerName customer, Instant deadline);
}
