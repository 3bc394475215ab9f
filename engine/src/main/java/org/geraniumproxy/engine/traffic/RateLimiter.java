package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.limit.LocalRate;
import org.geraniumproxy.core.limit.RateShare;

/** The local rates of all customers, on the traffic thread. */
final class RateLimiter {
    private final Map<CustomerName, LocalRate> ratesByCustomer = new HashMap<>();

    LocalRate.Admission admit(CustomerName customer, Duration maximumWait, Instant now) {
        LocalRate rate = ratesByCustomer.computeIfAbsent(customer, _ -> LocalRate.none(now));
        if (customer.equals(CallerSession.ANONYMOUS)) {
            return new LocalRate.Admission.Admitted(rate);
        }
        LocalRate.Admission admission = rate.admit(maximumWait, now);
        ratesByCustomer.put(customer, admission.next());
        return admission;
    }

    void takeReserved(CustomerName customer, Instant now) {
        ratesByCustomer.computeIfPresent(customer, (_, rate) -> rate.redeem(now));
    }

    void updateShares(Map<CustomerName, RateShare> shares, Instant now) {
        ratesByCustomer.keySet().removeIf(customer -> !shares.containsKey(customer));
        shares.forEach((customer, share) -> ratesByCustomer.put(
                customer,
                ratesByCustomer.getOrDefault(customer, LocalRate.none(now)).withShare(share, now)));
    }

    Map<CustomerName, Double> demand(Instant now) {
        Map<CustomerName, Double> demand = new HashMap<>();
        ratesByCustomer.forEach((customer, rate) -> demand.put(customer, rate.demandPerSecond(now)));
        return demand;
    }
}
