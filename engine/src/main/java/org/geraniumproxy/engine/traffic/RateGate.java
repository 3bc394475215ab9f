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
final class RateGate {
    private final Map<CustomerName, LocalRate> rates = new HashMap<>();

    LocalRate.Admission admit(CustomerName customer, Duration longestWait, Instant now) {
        LocalRate rate = rates.computeIfAbsent(customer, _ -> LocalRate.none(now));
        if (customer.equals(CallerSession.ANONYMOUS)) {
            return new LocalRate.Admission.Admitted(rate);
        }
        LocalRate.Admission admission = rate.admit(longestWait, now);
        rates.put(customer, admission.next());
        return admission;
    }

    void redeem(CustomerName customer, Instant now) {
        rates.computeIfPresent(customer, (_, rate) -> rate.redeem(now));
    }

    void putInForce(Map<CustomerName, RateShare> shares, Instant now) {
        rates.keySet().removeIf(customer -> !shares.containsKey(customer));
        shares.forEach((customer, share) -> rates.put(
                customer, rates.getOrDefault(customer, LocalRate.none(now)).withShare(share, now)));
    }

    Map<CustomerName, Double> demand(Instant now) {
        Map<CustomerName, Double> demand = new HashMap<>();
        rates.forEach((customer, rate) -> demand.put(customer, rate.demandPerSecond(now)));
        return demand;
    }
}
