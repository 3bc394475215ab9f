package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.limit.LocalRateLimit;
import org.geraniumproxy.core.limit.RateShare;

/**
 * Limits the rate of each customer to this VM's share; anonymous callers are not limited. Used on the traffic thread.
 */
final class RateLimiter {
    private final Map<CustomerName, LocalRateLimit> limitsByCustomer = new HashMap<>();

    LocalRateLimit.Admission admit(CustomerName customer, Duration maximumWait, Instant now) {
        LocalRateLimit limit = limitsByCustomer.computeIfAbsent(customer, _ -> LocalRateLimit.initial(now));
        if (customer.equals(CallerSession.ANONYMOUS)) {
            return new LocalRateLimit.Admission.Admitted(limit);
        }
        LocalRateLimit.Admission admission = limit.admit(maximumWait, now);
        limitsByCustomer.put(customer, admission.next());
        return admission;
    }

    void takeReserved(CustomerName customer, Instant now) {
        limitsByCustomer.computeIfPresent(customer, (_, limit) -> limit.takeReserved(now));
    }

    void updateShares(Map<CustomerName, RateShare> shares, Instant now) {
        limitsByCustomer.keySet().removeIf(customer -> !shares.containsKey(customer));
        shares.forEach((customer, share) -> limitsByCustomer.put(
                customer,
                limitsByCustomer
                        .getOrDefault(customer, LocalRateLimit.initial(now))
                        .withShare(share, now)));
    }

    Map<CustomerName, Double> demand(Instant now) {
        Map<CustomerName, Double> demand = new HashMap<>();
        limitsByCustomer.forEach((customer, limit) -> demand.put(customer, limit.demandPerSecond(now)));
        return demand;
    }
}
