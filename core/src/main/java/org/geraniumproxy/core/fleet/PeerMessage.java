package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.directory.PrimaryClaim;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;

/**
 * State that a VM sends to all other VMs at regular intervals. Each message is complete, so the next one makes up for a
 * lost one.
 *
 * @param sender VM that sent the message
 * @param configurationVersion newest configuration version that the sender knows
 * @param demand operations per second that each customer requests from the sender
 * @param failingFor databases that don't answer the sender, with the time since the first failure
 * @param commitsFailingFor databases that acknowledge no commit to the sender, with the time since the first failure
 * @param newestTerms newest term of each group that a primary reported to the sender
 * @param acknowledged last acknowledged position of each group that the sender knows
 * @param claims newest primary claim of each group that the sender knows
 */
public record PeerMessage(
        VmName sender,
        long configurationVersion,
        Map<CustomerName, Double> demand,
        Map<BackendServerName, Duration> failingFor,
        Map<BackendServerName, Duration> commitsFailingFor,
        Map<GroupName, Long> newestTerms,
        Map<GroupName, LogPosition> acknowledged,
        Map<GroupName, PrimaryClaim> claims) {
    /** Smallest significant change of a demand in operations per second. Smaller changes barely affect the shares. */
    private static final double MINIMUM_DEMAND_CHANGE = 1;

    /** Smallest significant change relative to the earlier demand; normal fluctuation stays below it. */
    private static final double MINIMUM_DEMAND_CHANGE_RATIO = 0.5;

    /** Copies the maps. */
    public PeerMessage {
        demand = Map.copyOf(demand);
        failingFor = Map.copyOf(failingFor);
        commitsFailingFor = Map.copyOf(commitsFailingFor);
        newestTerms = Map.copyOf(newestTerms);
        acknowledged = Map.copyOf(acknowledged);
        claims = Map.copyOf(claims);
    }

    /** Returns an empty message, which stands for the last sent one at process start. */
    static PeerMessage initial(VmName sender) {
        return new PeerMessage(sender, 0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    /** Returns whether any database fails for the sender. */
    boolean reportsFailures() {
        return !failingFor.isEmpty() || !commitsFailingFor.isEmpty();
    }

    /**
     * Returns whether this message could change a decision of its recipients compared with an earlier one. Demand
     * affects rate shares, failures and claims affect promotions.
     */
    boolean hasSignificantChangeSince(PeerMessage earlier) {
        return configurationVersion != earlier.configurationVersion
                || !claims.equals(earlier.claims)
                || !failingFor.keySet().equals(earlier.failingFor.keySet())
                || !commitsFailingFor.keySet().equals(earlier.commitsFailingFor.keySet())
                || hasDemandChangeSince(earlier);
    }

    private boolean hasDemandChangeSince(PeerMessage earlier) {
        Set<CustomerName> customers = new HashSet<>(demand.keySet());
        customers.addAll(earlier.demand.keySet());
        return customers.stream().anyMatch(customer -> {
            double before = earlier.demand.getOrDefault(customer, 0.0);
            double after = demand.getOrDefault(customer, 0.0);
            return Math.abs(after - before) > Math.max(MINIMUM_DEMAND_CHANGE, before * MINIMUM_DEMAND_CHANGE_RATIO);
        });
    }
}
