package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Exponentially decaying estimate of the requests per second at this VM.
 *
 * @param perSecond the estimate at the last update
 * @param updatedAt time of the last update
 */
public record DemandEstimate(double perSecond, Instant updatedAt) {
    /**
     * Time constant of the decay: long enough to smooth single requests, short compared with changes in a customer's
     * rate.
     */
    private static final double TIME_CONSTANT_SECONDS = 1.0;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    static DemandEstimate none(Instant now) {
        return new DemandEstimate(0, now);
    }

    DemandEstimate withArrival(Instant now) {
        return new DemandEstimate(perSecondAt(now) + 1 / TIME_CONSTANT_SECONDS, now);
    }

    double perSecondAt(Instant now) {
        double seconds = Math.max(0, Duration.between(updatedAt, now).toNanos()) / NANOSECONDS_PER_SECOND;
        return perSecond * Math.exp(-seconds / TIME_CONSTANT_SECONDS);
    }
}
