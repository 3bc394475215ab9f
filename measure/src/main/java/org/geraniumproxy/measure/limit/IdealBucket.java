package org.geraniumproxy.measure.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * One token bucket for the whole system. A sequence of admissions stays within burst + rate × T in every window of
 * length T exactly if it never takes more from this bucket than it holds.
 */
final class IdealBucket {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Rounding error of the level in a long run, in tokens. */
    private static final double TOLERANCE = 1e-6;

    private final double ratePerSecond;
    private final int burst;
    private double level;
    private double lowest;
    private Instant refilledAt;

    IdealBucket(double ratePerSecond, int burst, Instant now) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.level = burst;
        this.refilledAt = now;
    }

    /** Takes a token if there is a whole one. */
    boolean tryTake(Instant now) {
        refill(now);
        if (level < 1 - TOLERANCE) {
            return false;
        }
        level -= 1;
        return true;
    }

    /** Takes a token in any case, and remembers how far the level fell below zero. */
    void force(Instant now) {
        refill(now);
        level -= 1;
        lowest = Math.min(lowest, level);
    }

    /** Largest number of tokens by which the admissions of any window exceeded burst + rate × T. */
    double largestOverrun() {
        return lowest < -TOLERANCE ? -lowest : 0;
    }

    private void refill(Instant now) {
        double seconds = Duration.between(refilledAt, now).toNanos() / NANOSECONDS_PER_SECOND;
        level = Math.min(burst, level + seconds * ratePerSecond);
        refilledAt = now;
    }
}
