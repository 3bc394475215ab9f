package org.geraniumproxy.core.limit;

import java.util.List;

/**
 * Divides a customer's rate among the VMs in proportion to demand. The load balancer distributes callers unevenly, so
 * equal shares would refuse operations within the rate. The shares add up to the rate while all VMs know each other's
 * demand. An equal part is set aside for each unreachable VM, so that the VMs on both sides of a network partition
 * together stay within the rate.
 */
public final class DemandWeightedShare {
    /** Fraction of the rate that is divided equally, so that the first operations at an idle VM find tokens. */
    private static final double EQUAL_FRACTION = 0.3;

    private static final double MILLI_TOKENS_PER_TOKEN = 1000;

    private DemandWeightedShare() {}

    /**
     * Returns this VM's share.
     *
     * @param operationsPerSecond rate of the customer over all VMs
     * @param burst burst of the customer over all VMs
     * @param ownDemand operations requested per second at this VM
     * @param peerDemand operations requested per second at each reachable peer VM
     * @param unreachableVms number of VMs that exist but have not reported recently
     * @return the share
     */
    public static RateShare of(
            double operationsPerSecond, int burst, double ownDemand, List<Double> peerDemand, int unreachableVms) {
        int reachableVms = peerDemand.size() + 1;
        double availableFraction = (double) reachableVms / (reachableVms + unreachableVms);
        double demand = ownDemand;
        for (double other : peerDemand) {
            demand += other;
        }
        double demandFraction = demand > 0 ? ownDemand / demand : 1.0 / reachableVms;
        double fraction = availableFraction * (EQUAL_FRACTION / reachableVms + (1 - EQUAL_FRACTION) * demandFraction);
        long rate = (long) Math.floor(operationsPerSecond * fraction * MILLI_TOKENS_PER_TOKEN);
        long tokens = Math.max(1, (long) Math.floor(burst * fraction));
        return new RateShare(rate, burst == 0 ? 0 : tokens);
    }
}
