package org.geraniumproxy.measure.limit;

import java.time.Duration;
import java.util.List;
import org.geraniumproxy.core.limit.LimitTiming;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;

/**
 * Parameters of a run that limits one customer.
 *
 * @param deployment VMs and network latencies
 * @param seed seed of the random numbers
 * @param ratePerSecond the customer's rate
 * @param burst the customer's burst
 * @param spikeLoadFactor arrival rate divided by the customer's rate, in one of every four seconds
 * @param calmLoadFactor arrival rate divided by the customer's rate in the other seconds; below one, tokens accumulate
 * @param firstVmShare share of arrivals that the load balancer sends to the first VM
 * @param duration duration of the load, after the warm-up
 * @param timing durations that the safety of the limit depends on
 * @param lending whether VMs lend each other tokens; if false, the shares are static
 * @param faults faults to inject
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
    /**
     * Bursts of the runs with faults. With a burst below the number of VMs, some VMs have no share and depend on loans.
     */
    private static final List<Integer> BURSTS_WITH_FAULTS = List.of(3, 2, 5, 4, 20, 10, 40);

    /**
     * Returns a scenario without faults in which one VM gets half of the traffic at 95% of the rate.
     *
     * @param deployment latencies and VMs
     * @param seed seed of the run
     * @param ratePerSecond the customer's rate
     * @param burst the customer's burst
     * @param lending whether VMs lend each other tokens
     * @return the scenario
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
     * Returns a scenario with faults in which load spikes far above the rate follow seconds below it. Odd seeds inject
     * all kinds of faults; even seeds only lose, delay and duplicate messages, so that the buckets fill up between the
     * spikes.
     *
     * @param deployment latencies and VMs
     * @param seed seed of the run
     * @param timing durations that the safety of the limit depends on
     * @return the scenario
     */
    public static LimitScenario withFaults(SimulatedDeployment deployment, long seed, LimitTiming timing) {
        LimitFaults faults = seed % 2 == 0 ? LimitFaults.MESSAGE_FAULTS : LimitFaults.ALL;
        int burst = BURSTS_WITH_FAULTS.get((int) Math.floorMod(seed, (long) BURSTS_WITH_FAULTS.size()));
        return new LimitScenario(
                deployment, seed, 120, burst, 5.0, 0.8, 0.5, Duration.ofMinutes(2), timing, true, faults);
    }
}
