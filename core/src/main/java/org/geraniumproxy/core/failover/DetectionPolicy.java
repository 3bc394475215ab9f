package org.geraniumproxy.core.failover;

import java.time.Duration;

/** How long a database may be silent before it is suspected. */
public sealed interface DetectionPolicy {
    /**
     * Returns the policy of production: at least 300 ms, at most 2 s, four deviations above the mean interval.
     *
     * @return the policy
     */
    static DetectionPolicy adaptive() {
        return new Adaptive(Duration.ofMillis(300), Duration.ofSeconds(2), 4);
    }

    /**
     * A timeout that follows the intervals between replies.
     *
     * @param minimum shortest timeout
     * @param maximum longest timeout
     * @param deviationMultiplier number of deviations above the mean interval
     */
    record Adaptive(Duration minimum, Duration maximum, int deviationMultiplier) implements DetectionPolicy {}

    /**
     * The same timeout for all databases at all times, the baseline for measurements.
     *
     * @param timeout the timeout
     */
    record FixedTimeout(Duration timeout) implements DetectionPolicy {}

    /**
     * Returns the timeout of a database.
     *
     * @param intervals the intervals between its replies
     * @return the timeout
     */
    default Duration timeout(ReplyIntervals intervals) {
        return switch (this) {
            case FixedTimeout fixed -> fixed.timeout();
            case Adaptive adaptive -> {
                Duration adapted =
                        intervals.mean().plus(intervals.deviation().multipliedBy(adaptive.deviationMultiplier()));
                Duration raised = adapted.compareTo(adaptive.minimum()) < 0 ? adaptive.minimum() : adapted;
                yield raised.compareTo(adaptive.maximum()) > 0 ? adaptive.maximum() : raised;
            }
        };
    }
}
