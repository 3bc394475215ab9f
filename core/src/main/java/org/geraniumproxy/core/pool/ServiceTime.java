package org.geraniumproxy.core.pool;

import java.time.Duration;

/**
 * Expected slot time of a statement of cost 1, as an exponentially weighted moving average.
 *
 * @param expected the expected time
 */
public record ServiceTime(Duration expected) {
    /** The expected time before the first statement. */
    public static final ServiceTime INITIAL = new ServiceTime(Duration.ofMillis(5));

    /** A sample has the weight 1 / 16, so that the average follows a change within some tens of statements. */
    private static final int SMOOTHING_DIVISOR = 16;

    /** Bound on one sample, so that one hanging statement does not cause later requests to be refused. */
    private static final Duration MAXIMUM_SAMPLE = Duration.ofSeconds(1);

    /**
     * Adds the slot time of a statement.
     *
     * @param slotTime time for which the statement occupied its slot
     * @param cost cost of the statement, greater than 0
     * @return the updated expectation
     */
    public ServiceTime withSample(Duration slotTime, double cost) {
        Duration bounded = slotTime.compareTo(MAXIMUM_SAMPLE) < 0 ? slotTime : MAXIMUM_SAMPLE;
        long sample = Math.max(0, Math.round(bounded.toNanos() / cost));
        long previous = expected.toNanos();
        return new ServiceTime(Duration.ofNanos(previous + (sample - previous) / SMOOTHING_DIVISOR));
    }

    Duration expectedFor(double cost) {
        return Duration.ofNanos(Math.round(expected.toNanos() * cost));
    }
}
