package org.geraniumproxy.core.failover;

import java.time.Duration;

/** Time without a reply after which a database counts as unreachable. */
public sealed interface DetectionPolicy {
    /**
     * Returns the policy used in production: four deviations above the mean reply interval, but at least 300 ms and at
     * most 2 s.
     *
     * @return the policy
     */
    static DetectionPolicy adaptive() {
        return new Adaptive(Duration.ofMillis(300), Duration.ofSeconds(2), 4);
    }

    /**
     * A timeout that adapts to the intervals between replies.
     *
     * @param minimum shortest timeout
     * @param maximum longest timeout
     * @param deviationMultiplier number of mean deviations added to the mean interval
     */
    record Adaptive(Duration minimum, Duration maximum, int deviationMultiplier) implements DetectionPolicy {}

    /**
     * A constant timeout for all databases, used as the baseline in measurements.
     *
     * @param timeout the timeout
     */
    record FixedTimeout(Duration timeout) implements DetectionPolicy {}

    /**
     * Returns the detection timeout of a database.
     *
     * @param intervals intervals between the replies of the database
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
