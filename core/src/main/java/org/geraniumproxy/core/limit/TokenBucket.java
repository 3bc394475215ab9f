package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Token bucket of a share. The level is stored in units of 10^-12 tokens, so that a rate in thousandths of a token per
 * second is a whole number of units per nanosecond and refilling never rounds.
 *
 * @param units fill level in units of 10^-12 tokens
 * @param refilledAt time up to which the level includes accrued tokens
 */
public record TokenBucket(long units, Instant refilledAt) {
    /** Units per token. */
    static final long UNITS_PER_TOKEN = 1_000_000_000_000L;

    /** Maximum burst of a share. Larger levels could overflow a {@code long}. */
    static final long MAXIMUM_BURST = Long.MAX_VALUE / UNITS_PER_TOKEN / 2;

    /** Rejects a negative level. */
    public TokenBucket {
        InvariantViolation.check(units >= 0, "level of a token bucket is negative");
    }

    static TokenBucket empty(Instant now) {
        return new TokenBucket(0, now);
    }

    /**
     * Adds the tokens accrued at a rate, up to a capacity. Nothing is added if the clock has not advanced or went back.
     */
    TokenBucket refill(Instant now, long milliTokensPerSecond, long capacity) {
        if (!now.isAfter(refilledAt)) {
            return this;
        }
        long limit = Math.min(capacity, MAXIMUM_BURST) * UNITS_PER_TOKEN;
        long freeCapacity = Math.max(0, limit - units);
        Duration elapsed = Duration.between(refilledAt, now);
        return new TokenBucket(units + Math.min(freeCapacity, accrued(elapsed, milliTokensPerSecond)), now);
    }

    TokenBucket limitTo(long capacity) {
        long limit = Math.min(capacity, MAXIMUM_BURST) * UNITS_PER_TOKEN;
        return units <= limit ? this : new TokenBucket(limit, refilledAt);
    }

    long wholeTokens() {
        return units / UNITS_PER_TOKEN;
    }

    TokenBucket take(long tokens) {
        return new TokenBucket(units - tokens * UNITS_PER_TOKEN, refilledAt);
    }

    TokenBucket add(long tokens) {
        return new TokenBucket(units + tokens * UNITS_PER_TOKEN, refilledAt);
    }

    /** Returns the time until the bucket holds a number of tokens; one day if the rate is zero. */
    Duration timeUntil(long tokens, long milliTokensPerSecond) {
        long missing = tokens * UNITS_PER_TOKEN - units;
        if (missing <= 0) {
            return Duration.ZERO;
        }
        return milliTokensPerSecond == 0
                ? Duration.ofDays(1)
                : Duration.ofNanos(Math.ceilDiv(missing, milliTokensPerSecond));
    }

    private static long accrued(Duration elapsed, long milliTokensPerSecond) {
        if (milliTokensPerSecond == 0) {
            return 0;
        }
        long nanosecondsToOverflow = Long.MAX_VALUE / milliTokensPerSecond;
        boolean overflows = elapsed.compareTo(Duration.ofNanos(nanosecondsToOverflow)) >= 0;
        return overflows ? Long.MAX_VALUE : elapsed.toNanos() * milliTokensPerSecond;
    }
}
