package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Token bucket that can promise tokens before they accrue, so that an operation can be told when its token is due. The
 * state is the time at which the bucket would be full if nothing more were taken.
 *
 * @param tokensPerSecond rate at which tokens accrue, not negative
 * @param burst maximum number of accumulated tokens, not negative
 * @param fullAt time at which the bucket is full again
 */
public record PacedRate(double tokensPerSecond, double burst, Instant fullAt) {
    /** Wait that is reported if tokens never accrue. */
    public static final Duration NEVER = Duration.ofDays(1);

    /** Longest time in which a bucket fills; a longer one doesn't fit a duration in nanoseconds. */
    private static final double MAXIMUM_FILL_SECONDS = 1e9;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /**
     * Validates the limits.
     *
     * @throws IllegalArgumentException if the rate or the burst is negative or not a number
     */
    public PacedRate {
        if (!(tokensPerSecond >= 0) || !(burst >= 0)) {
            throw new IllegalArgumentException("rate and burst must not be negative");
        }
    }

    /**
     * Returns a bucket without tokens.
     *
     * @param tokensPerSecond rate at which tokens accrue
     * @param burst maximum number of accumulated tokens
     * @param now current time
     * @return the empty bucket
     */
    public static PacedRate empty(double tokensPerSecond, double burst, Instant now) {
        return holding(tokensPerSecond, burst, 0, now);
    }

    /** Returns a bucket with a number of tokens, at most as many as the burst. */
    static PacedRate holding(double tokensPerSecond, double burst, double tokens, Instant now) {
        return new PacedRate(tokensPerSecond, burst, now.plus(duration(burst - tokens, tokensPerSecond)));
    }

    /**
     * Applies other limits. Tokens beyond the new burst are discarded, and tokens that were promised remain promised.
     *
     * @param newRate new rate at which tokens accrue
     * @param newBurst new maximum number of accumulated tokens
     * @param now current time
     * @return the bucket with the new limits
     */
    public PacedRate withLimits(double newRate, double newBurst, Instant now) {
        if (newRate == tokensPerSecond && newBurst == burst) {
            return this;
        }
        return holding(newRate, newBurst, Math.min(level(now), newBurst), now);
    }

    /**
     * Returns the time until the given number of tokens is available.
     *
     * @param tokens number of tokens
     * @param now current time
     * @return zero if they are available now, {@link #NEVER} if tokens don't accrue
     */
    public Duration waitFor(long tokens, Instant now) {
        double missing = tokens - level(now);
        Duration wait = duration(missing, tokensPerSecond);
        return wait.compareTo(NEVER) < 0 ? wait : NEVER;
    }

    /**
     * Returns the number of tokens that are available within a wait.
     *
     * @param maximumWait longest wait
     * @param now current time
     * @return whole tokens, not negative
     */
    public long tokensWithin(Duration maximumWait, Instant now) {
        double accrued = tokensPerSecond * maximumWait.toNanos() / NANOSECONDS_PER_SECOND;
        return Math.max(0, (long) Math.floor(level(now) + accrued));
    }

    /**
     * Takes tokens, which may be due in the future.
     *
     * @param tokens number of tokens
     * @param now current time
     * @return the bucket without the tokens
     */
    public PacedRate take(long tokens, Instant now) {
        return holding(tokensPerSecond, burst, Math.min(level(now), burst) - tokens, now);
    }

    /** Returns the number of tokens; negative if more were promised than have accrued. */
    private double level(Instant now) {
        if (tokensPerSecond == 0) {
            return 0;
        }
        if (!now.isBefore(fullAt)) {
            return burst;
        }
        return burst - tokensPerSecond * Duration.between(now, fullAt).toNanos() / NANOSECONDS_PER_SECOND;
    }

    private static Duration duration(double tokens, double perSecond) {
        if (tokens <= 0) {
            return Duration.ZERO;
        }
        double seconds = Math.min(MAXIMUM_FILL_SECONDS, tokens / perSecond);
        return Duration.ofNanos((long) Math.ceil(seconds * NANOSECONDS_PER_SECOND));
    }
}
