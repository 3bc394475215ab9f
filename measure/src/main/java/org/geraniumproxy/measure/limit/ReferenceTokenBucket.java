package org.geraniumproxy.measure.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Centralized token bucket that serves as the reference for the distributed limit. A sequence of admissions stays
 * within burst + rate × T in every window of length T if and only if it never overdraws this bucket.
 */
final class ReferenceTokenBucket {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Allowance for accumulated rounding errors of the number of tokens, in tokens. */
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

    /** Takes a token if a whole one is available. */
    boolean tryTake(Instant now) {
        refill(now);
        if (tokens < 1 - TOLERANCE) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Takes a token even if none is available, and records the lowest number of tokens. */
    void takeUnconditionally(Instant now) {
        refill(now);
        tokens -= 1;
        lowestTokens = Math.min(lowestTokens, tokens);
    }

    /** Returns the maximum number of tokens by which admissions exceeded burst + rate × T in any window. */
    double maximumOverrun() {
        return lowestTokens < -TOLERANCE ? -lowestTokens : 0;
    }

    private void refill(Instant now) {
        double seconds = Duration.between(refilledAt, now).toNanos() / NANOSECONDS_PER_SECOND;
        tokens = Math.min(burst, tokens + seconds * ratePerSecond);
        refilledAt = now;
    }
}
