package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.control.InvariantViolation;

/**
 * Tokens of a share. The level is kept in units of 10^-12 tokens, so that a rate in thousandths of a token per second
 * is a whole number of units per nanosecond and refilling never rounds.
 *
 * @param units level
 * @param refilledAt moment up to which the level includes what the rate added
 */
public record TokenBucket(long units, Instant refilledAt) {
    /** Units of one token. */
    static final long UNITS_PER_TOKEN = 1_000_000_000_000L;

    /** Largest burst of a share; more tokens do not fit the level. */
    static final long MAXIMUM_BURST = Long.MAX_VALUE / UNITS_PER_TOKEN / 2;

    /** Checks the level. */
    public TokenBucket {
        InvariantViolation.check(units >= 0, "a token bucket never holds less than nothing");
    }

    static TokenBucket empty(Instant now) {
        return new TokenBucket(0, now);
    }

    /**
     * Adds what a rate yields until a moment, up to a capacity. A clock that stands still or goes back adds nothing.
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

    /** Time until the bucket holds a whole number of tokens, given the rate. */
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
