package org.geraniumproxy.core.fleet;

import java.time.Duration;

/**
 * Times that the deployment guarantees, read from the settings.
 *
 * @param drainNotice time for which a draining database accepts new statements after its entry says so
 * @param catchUpTime time within which a restarted database has received the whole log
 */
public record FleetTiming(Duration drainNotice, Duration catchUpTime) {
    /** End of the notice that is reserved for statements in flight and for VMs that learn of the drain late. */
    private static final Duration DRAIN_MARGIN = Duration.ofMillis(1500);

    /**
     * Validates the times.
     *
     * @throws IllegalArgumentException if the catch-up time is negative, or the notice is not longer than 1.5 s
     */
    public FleetTiming {
        if (drainNotice.compareTo(DRAIN_MARGIN) <= 0) {
            throw new IllegalArgumentException("the drain notice must be longer than " + DRAIN_MARGIN.toMillis()
                    + " ms, not " + drainNotice.toMillis() + " ms");
        }
        if (catchUpTime.isNegative()) {
            throw new IllegalArgumentException("the catch-up time must not be negative");
        }
    }

    /** Returns the time after which a draining database gets no new statements. */
    Duration drainGracePeriod() {
        return drainNotice.minus(DRAIN_MARGIN);
    }
}
