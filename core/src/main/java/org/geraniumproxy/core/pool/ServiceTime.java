package org.geraniumproxy.core.pool;

import java.time.Duration;

/**
 * Expected time that a statement of cost one occupies a slot.
 *
 * @param expected the time
 */
public record ServiceTime(Duration expected) {
    /** Expectation before the first statement. */
    public static final ServiceTime INITIAL = new ServiceTime(Duration.ofMillis(5));

    /** Weight of the newest statement is one to this number: it follows a change within some tens of statements. */
    private static final int SMOOTHING_DIVISOR = 16;

    /** A statement that hangs must not make every request look hopeless. */
    private static final Duration MAXIMUM_SAMPLE = Duration.ofSeconds(1);

    /**
     * Takes a statement into account.
     *
     * @param occupied time for which it occupied its slot
     * @param cost its cost
     * @return the expectation after it
     */
    public ServiceTime withSample(Duration occupied, double cost) {
        Duration bounded = occupied.compareTo(MAXIMUM_SAMPLE) < 0 ? occupied : MAXIMUM_SAMPLE;
        long sample = Math.max(0, Math.round(bounded.toNanos() / cost));
        long previous = expected.toNanos();
        return new ServiceTime(Duration.ofNanos(previous + (sample - previous) / SMOOTHING_DIVISOR));
    }

    Duration expectedFor(double cost) {
        return Duration.ofNanos(Math.round(expected.toNanos() * cost));
    }
}
