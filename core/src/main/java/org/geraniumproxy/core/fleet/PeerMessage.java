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
 * What a VM tells the other VMs at regular intervals. A lost message is replaced by the next one.
 *
 * @param sender the VM
 * @param configurationVersion its newest configuration
 * @param demand operations per second that each customer asks for there
 * @param failingFor databases that do not answer it, and since how long
 * @param commitsFailingFor databases that acknowledge no commit to it, and since how long
 * @param newestTerms newest term of each group that a primary named to it
 * @param acknowledged position of each group up to which commits were acknowledged, as far as it knows
 * @param claims primaries that it learned
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
    /** Change of a demand, in operations per second, below which no share moves by an operation in a while. */
    private static final double MINIMUM_DEMAND_CHANGE = 1;

    /** Part of a demand by which it changes all the time. */
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

    /** What a VM that has told nothing told. */
    static PeerMessage initial(VmName sender) {
        return new PeerMessage(sender, 0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    /** Tells whether a database fails for the sender. */
    boolean reportsFailures() {
        return !failingFor.isEmpty() || !commitsFailingFor.isEmpty();
    }

    /**
     * Tells whether other VMs would decide otherwise after this message than after an earlier one: shares of rates
     * follow the demand, promotions follow failures.
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
