package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.caller.CallerDrain;

/**
 * Times of the steps of a planned stop. They count from the stop signal, so that a process that handles the signal late
 * has less time for each step, but ends in time.
 *
 * @param drain times by which the sessions must have ended; no connection is accepted after its start
 * @param leavesAt latest time at which the VM leaves the fleet, which takes the rest of the grace period
 */
public record StopSchedule(CallerDrain drain, Instant leavesAt) {
    /**
     * Time in which the load balancer removes this VM. It checks readiness once a second and removes a VM after two
     * failed checks.
     */
    public static final Duration LOAD_BALANCER_DELAY = Duration.ofMillis(2200);

    /** Time in which the VM leaves the fleet and writes its last log lines. */
    public static final Duration LEAVE_TIME = Duration.ofMillis(350);

    /**
     * Time between the halt of the virtual machine and the end of the process. A halt waits for threads in native code,
     * such as the selectors, for at most 300 ms.
     */
    public static final Duration HALT_TIME = Duration.ofMillis(350);

    /** Time in which the last answers are passed to the operating system. */
    public static final Duration FLUSH_TIME = Duration.ofMillis(200);

    /**
     * Returns the schedule of a stop. Open transactions have the first half of the grace period to end. A short grace
     * period leaves no time for the load balancer.
     *
     * @param signalledAt time at which the stop signal arrived
     * @param grace time between the signal and the forced termination of the process
     * @return the schedule
     */
    public static StopSchedule of(Instant signalledAt, Duration grace) {
        Instant middle = signalledAt.plus(grace.dividedBy(2));
        Instant leavesAt =
                later(middle, signalledAt.plus(grace).minus(HALT_TIME).minus(LEAVE_TIME));
        Instant answersDueAt = later(middle, leavesAt.minus(FLUSH_TIME));
        Instant removedAt = signalledAt.plus(LOAD_BALANCER_DELAY);
        Instant startsAt = removedAt.isBefore(middle) ? removedAt : middle;
        return new StopSchedule(new CallerDrain(startsAt, middle, answersDueAt), leavesAt);
    }

    private static Instant later(Instant first, Instant second) {
        return first.isAfter(second) ? first : second;
    }
}
