package org.geraniumproxy.measure.limit;

import java.time.Duration;

/**
 * Faults of a run.
 *
 * @param lossProbability share of the messages that are lost
 * @param duplicationProbability share of the messages that arrive twice
 * @param delayProbability share of the messages that are delayed and overtaken by others
 * @param maximumDelay longest extra delay of a slow message
 * @param meanPauseInterval mean time between two pauses of a VM, zero for none
 * @param meanIsolationInterval mean time between two isolations of a VM from the view exchange, zero for none
 * @param meanRestartInterval mean time between two restarts of a VM with a removal from the roster, zero for none
 * @param meanLeaveInterval mean time between two changes of the roster in which a VM leaves and soon returns, zero for none
 */
public record LimitFaults(
        double lossProbability,
        double duplicationProbability,
        double delayProbability,
        Duration maximumDelay,
        Duration meanPauseInterval,
        Duration meanIsolationInterval,
        Duration meanRestartInterval,
        Duration meanLeaveInterval) {
    /** No fault. */
    public static final LimitFaults NONE =
            new LimitFaults(0, 0, 0, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO);

    /** Faults of the links alone. */
    public static final LimitFaults MESSAGE_FAULTS = new LimitFaults(
            0.05, 0.05, 0.10, Duration.ofMillis(1500), Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO);

    /** Every kind of fault, much more often than in operation. */
    public static final LimitFaults ALL = new LimitFaults(
            0.05,
            0.05,
            0.10,
            Duration.ofMillis(1500),
            Duration.ofSeconds(15),
            Duration.ofSeconds(20),
            Duration.ofSeconds(30),
            Duration.ofSeconds(8));
}
