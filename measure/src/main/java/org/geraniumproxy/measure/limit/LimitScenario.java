package org.geraniumproxy.measure.limit;

import java.time.Duration;
import java.util.List;
import org.geraniumproxy.core.limit.LimitTiming;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;

/**
 * A run of one customer's limit.
 *
 * @param deployment latencies and VMs
 * @param seed seed of the run
 * @param ratePerSecond the customer's rate
 * @param burst the customer's burst
 * @param spikeLoadFactor arrivals per second over the rate, in the last of every four seconds
 * @param calmLoadFactor arrivals per second over the rate in the other seconds, in which tokens gather if it is below one
 * @param firstVmShare share of the arrivals that the balancer sends to the first VM
 * @param duration length of the run
 * @param timing durations that the safety depends on
 * @param lending whether VMs lend each other tokens; without, the shares are static
 * @param faults what goes wrong
 */
public record LimitScenario(
        SimulatedDeployment deployment,
        long seed,
        double ratePerSecond,
        int burst,
        double spikeLoadFactor,
        double calmLoadFactor,
        double firstVmShare,
        Duration duration,
        LimitTiming timing,
        boolean lending,
        LimitFaults faults) {
    /** Bursts of the runs with faults; below the number of VMs, some VMs hold no share and live on loans. */
    private static final List<Integer> BURSTS_WITH_FAULTS = List.of(3, 2, 5, 4, 20, 10, 40);

    /**
     * Returns a run without faults in which one VM gets half of the traffic at 95% of the rate.
     *
     * @param deployment latencies and VMs
     * @param seed seed of the run
     * @param ratePerSecond the customer's rate
     * @param burst the customer's burst
     * @param lending whether VMs lend each other tokens
     * @return the run
     */
    public static LimitScenario withUnevenLoad(
            SimulatedDeployment deployment, long seed, double ratePerSecond, int burst, boolean lending) {
        return new LimitScenario(
                deployment,
                seed,
                ratePerSecond,
                burst,
                0.95,
                0.95,
                0.5,
                Duration.ofMinutes(10),
                LimitTiming.STANDARD,
                lending,
                LimitFaults.NONE);
    }

    /**
     * Returns a run with faults in which calm seconds take turns with seconds far over the rate. Odd seeds have every
     * kind of fault; even seeds only lose, delay and duplicate messages, so that the buckets fill up between the
     * spikes.
     *
     * @param deployment latencies and VMs
     * @param seed seed of the run
     * @param timing durations that the safety depends on
     * @return the run
     */
    public static LimitScenario withFaults(SimulatedDeployment deployment, long seed, LimitTiming timing) {
        LimitFaults faults = seed % 2 == 0 ? LimitFaults.MESSAGE_FAULTS : LimitFaults.ALL;
        int burst = BURSTS_WITH_FAULTS.get((int) Math.floorMod(seed, (long) BURSTS_WITH_FAULTS.size()));
        return new LimitScenario(
                deployment, seed, 120, burst, 5.0, 0.8, 0.5, Duration.ofMinutes(2), timing, true, faults);
    }
}
