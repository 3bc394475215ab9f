package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.limit.LocalRateLimit;
import org.geraniumproxy.core.limit.RateShare;

/** The local rates of all customers, on the traffic thread. */
final class RateLimiter {
    private final Map<CustomerName, LocalRateLimit> ratesByCustomer = new HashMap<>();

    LocalRateLimit.Admission admit(CustomerName customer, Duration maximumWait, Instant now) {
        LocalRateLimit rate = ratesByCustomer.computeIfAbsent(customer, _ -> LocalRateLimit.initial(now));
        if (customer.equals(CallerSession.ANONYMOUS)) {
            return new LocalRateLimit.Admission.Admitted(rate);
        }
        LocalRateLimit.Admission admission = rate.admit(maximumWait, now);
        ratesByCustomer.put(customer, admission.next());
        return admission;
    }

    void takeReserved(CustomerName customer, Instant now) {
        ratesByCustomer.computeIfPresent(customer, (_, rate) -> rate.takeReserved(now));
    }

    void updateShares(Map<CustomerName, RateShare> shares, Instant now) {
        ratesByCustomer.keySet().removeIf(customer -> !shares.containsKey(customer));
        shares.forEach((customer, share) -> ratesByCustomer.put(
                customer,
                ratesByCustomer
                        .getOrDefault(customer, LocalRateLimit.initial(now))
                        .withShare(share, now)));
    }

    Map<CustomerName, Double> demand(Instant now) {
        Map<CustomerName, Double> demand = new HashMap<>();
        ratesByCustomer.forEach((customer, rate) -> demand.put(customer, rate.demandPerSecond(now)));
        return demand;
    }
}
