package org.geraniumproxy.measure.limit;

import java.time.Duration;

/**
 * Probabilities and mean intervals of the faults injected into a run.
 *
 * @param lossProbability probability that a message is lost
 * @param duplicationProbability probability that a message is delivered twice
 * @param delayProbability probability that a message gets an extra delay, so that later messages can overtake it
 * @param maximumDelay upper bound of the extra delay
 * @param meanPauseInterval mean time between pauses of a VM, zero for none
 * @param meanIsolationInterval mean time between isolations of a VM from the view exchange, zero for none
 * @param meanRestartInterval mean time between restarts of a VM, each with a removal from the roster, zero for none
 * @param meanLeaveInterval mean time between temporary removals of a VM from the roster, zero for none
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
    /** No faults. */
    public static final LimitFaults NONE =
            new LimitFaults(0, 0, 0, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO);

    /** Lost, duplicated and delayed messages only. */
    public static final LimitFaults MESSAGE_FAULTS = new LimitFaults(
            0.05, 0.05, 0.10, Duration.ofMillis(1500), Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO);

    /** All kinds of faults, at rates far above those in production. */
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
