package org.geraniumproxy.measure.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * One token bucket for the whole system. A sequence of admissions stays within burst + rate × T in every window of
 * length T exactly if it never takes more from this bucket than it holds.
 */
final class ReferenceTokenBucket {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Rounding error of the level in a long run, in tokens. */
    private static final double TOLERANCE = 1e-6;

    private final double ratePerSecond;
    private final int burst;
    private double tokens;
    private double lowestTokens;
    private Instant refilledAt;

    ReferenceTokenBucket(double ratePerSecond, int burst, Instant now) {
        this.ratePerSecond = ratePerSecond;
        this.burst = burst;
        this.tokens = burst;
        this.refilledAt = now;
    }

    /** Takes a token if there is a whole one. */
    boolean tryTake(Instant now) {
        refill(now);
        if (tokens < 1 - TOLERANCE) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Takes a token in any case, and remembers how far the level fell below zero. */
    void takeUnconditionally(Instant now) {
        refill(now);
        tokens -= 1;
        lowestTokens = Math.min(lowestTokens, tokens);
    }

    /** Largest number of tokens by which the admissions of any window exceeded burst + rate × T. */
    double maximumOverrun() {
        return lowestTokens < -TOLERANCE ? -lowestTokens : 0;
    }

    private void refill(Instant now) {
        double seconds = Duration.between(refilledAt, now).toNanos() / NANOSECONDS_PER_SECOND;
        tokens = Math.min(burst, tokens + seconds * ratePerSecond);
        refilledAt = now;
    }
}
