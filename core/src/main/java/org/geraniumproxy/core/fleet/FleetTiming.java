package org.geraniumproxy.core.fleet;

import java.time.Duration;

/**
 * Times that the surroundings of the VMs promise, from their settings.
 *
 * @param drainNotice time for which a leaving database takes new work after its entry says so
 * @param catchUpTime time within which a database that started again has the whole log
 */
public record FleetTiming(Duration drainNotice, Duration catchUpTime) {
    /** Part of the notice that is left to statements on their way, and to machines that learn of it late. */
    private static final Duration DRAIN_MARGIN = Duration.ofMillis(1500);

    /**
     * Validates the times.
     *
     * @throws IllegalArgumentException if a time is negative, or the notice is not longer than the part of it that is
     *     left to statements on their way
     */
    public FleetTiming {
        if (drainNotice.compareTo(DRAIN_MARGIN) <= 0) {
            throw new IllegalArgumentException("the notice of a leaving database must be longer than "
                    + DRAIN_MARGIN.toMillis() + " ms, not " + drainNotice.toMillis() + " ms");
        }
        if (catchUpTime.isNegative()) {
            throw new IllegalArgumentException("the time to catch up must not be negative");
        }
    }

    /** Time after which a leaving database gets no new work. */
    Duration drainGracePeriod() {
        return drainNotice.minus(DRAIN_MARGIN);
    }
}
