package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Rate limit of one customer at this VM: the VM's share of the rate, its token bucket and the demand. A starting VM has
 * no tokens, so that restarts do not raise the total rate over all VMs.
 *
 * @param share the current share
 * @param bucket available tokens, including reserved ones
 * @param demand estimated operations requested per second
 * @param reservedTokens tokens reserved for operations that wait for them
 */
public record LocalRateLimit(RateShare share, TokenBucket bucket, DemandEstimate demand, int reservedTokens) {
    /** Decision about an operation, with the state after it. */
    public sealed interface Admission {
        /**
         * Returns the state after the decision.
         *
         * @return the state to use from now on
         */
        LocalRateLimit next();

        /**
         * The operation may run.
         *
         * @param next state after the decision
         */
        record Admitted(LocalRateLimit next) implements Admission {}

        /**
         * The operation may run after a delay. The caller must then call {@link LocalRateLimit#takeReserved}.
         *
         * @param next state after the decision
         * @param delay time until the reserved token is available
         */
        record Delayed(LocalRateLimit next, Duration delay) implements Admission {}

        /**
         * The operation exceeds the rate.
         *
         * @param next state after the decision
         * @param retryAfter time after which a token is expected
         */
        record Refused(LocalRateLimit next, Duration retryAfter) implements Admission {}
    }

    /**
     * Returns the state of a VM that has no share and no tokens yet.
     *
     * @param now the current time
     * @return the state
     */
    public static LocalRateLimit initial(Instant now) {
        return new LocalRateLimit(RateShare.NONE, TokenBucket.empty(now), DemandEstimate.none(now), 0);
    }

    /**
     * Applies a new share. Tokens beyond its burst are discarded.
     *
     * @param next the new share
     * @param now the current time
     * @return the state with the new share
     */
    public LocalRateLimit withShare(RateShare next, Instant now) {
        TokenBucket refilled = bucket.refill(now, share.milliTokensPerSecond(), share.burst());
        return new LocalRateLimit(next, refilled.limitTo(next.burst()), demand, reservedTokens);
    }

    /**
     * Admits, delays or refuses an operation. An operation whose token becomes available soon waits for it, because
     * demand varies over time and between VMs.
     *
     * @param maximumWait maximum delay; an operation that would wait longer is refused at once
     * @param now the current time
     * @return the decision
     */
    public Admission admit(Duration maximumWait, Instant now) {
        TokenBucket refilled = bucket.refill(now, share.milliTokensPerSecond(), share.burst());
        DemandEstimate updatedDemand = demand.withArrival(now);
        if (refilled.wholeTokens() > reservedTokens) {
            return new Admission.Admitted(new LocalRateLimit(share, refilled.take(1), updatedDemand, reservedTokens));
        }
        Duration wait = refilled.timeUntil(reservedTokens + 1L, share.milliTokensPerSecond());
        boolean canWait = reservedTokens < share.burst() && wait.compareTo(maximumWait) <= 0;
        return canWait
                ? new Admission.Delayed(new LocalRateLimit(share, refilled, updatedDemand, reservedTokens + 1), wait)
                : new Admission.Refused(new LocalRateLimit(share, refilled, updatedDemand, reservedTokens), wait);
    }

    /**
     * Takes the token reserved for a delayed operation. If the share shrank in the meantime and no token is left, the
     * fraction accrued so far is consumed instead.
     *
     * @param now the current time
     * @return the state
     */
    public LocalRateLimit takeReserved(Instant now) {
        TokenBucket refilled = bucket.refill(now, share.milliTokensPerSecond(), share.burst());
        TokenBucket remaining = refilled.wholeTokens() >= 1 ? refilled.take(1) : TokenBucket.empty(now);
        return new LocalRateLimit(share, remaining, demand, Math.max(0, reservedTokens - 1));
    }

    /**
     * Returns the estimated operations requested per second.
     *
     * @param now the current time
     * @return operations per second, refused ones included
     */
    public double demandPerSecond(Instant now) {
        return demand.perSecondAt(now);
    }
}
