package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;

/**
 * Admission of one customer's operations at this VM: the VM's share of the rate, the tokens at hand and the demand. A
 * VM that starts has no tokens, so that restarts add nothing to the rate of the fleet.
 *
 * @param share the share in force
 * @param bucket tokens at hand
 * @param demand operations asked for per second
 * @param reservedTokens tokens that operations wait for
 */
public record LocalRateLimit(RateShare share, TokenBucket bucket, DemandEstimate demand, int reservedTokens) {
    /** Whether an operation may run, and the state afterwards. */
    public sealed interface Admission {
        /**
         * Returns the state afterwards.
         *
         * @return the state
         */
        LocalRateLimit next();

        /**
         * The operation may run.
         *
         * @param next the state afterwards
         */
        record Admitted(LocalRateLimit next) implements Admission {}

        /**
         * The operation may run after a wait; {@link LocalRateLimit#takeReserved} is to be called then.
         *
         * @param next the state afterwards
         * @param delay time until its token is there
         */
        record Delayed(LocalRateLimit next, Duration delay) implements Admission {}

        /**
         * The operation is over the rate.
         *
         * @param next the state afterwards
         * @param retryAfter time after which a token is expected
         */
        record Refused(LocalRateLimit next, Duration retryAfter) implements Admission {}
    }

    /**
     * Returns the state of a VM that has no share yet.
     *
     * @param now the present moment
     * @return the state
     */
    public static LocalRateLimit initial(Instant now) {
        return new LocalRateLimit(RateShare.NONE, TokenBucket.empty(now), DemandEstimate.none(now), 0);
    }

    /**
     * Puts a share in force. Tokens beyond its burst are dropped.
     *
     * @param next the share
     * @param now the present moment
     * @return the state
     */
    public LocalRateLimit withShare(RateShare next, Instant now) {
        TokenBucket refilled = bucket.refill(now, share.milliTokensPerSecond(), share.burst());
        return new LocalRateLimit(next, refilled.limitTo(next.burst()), demand, reservedTokens);
    }

    /**
     * Admits or refuses an operation. One whose token comes soon waits for it, because demand is spread unevenly over
     * moments and VMs.
     *
     * @param maximumWait longest wait that is worth more than a refusal at once
     * @param now the present moment
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
     * Takes the token that an operation waited for. A share that shrank meanwhile may leave none; the operation then
     * runs on the next one.
     *
     * @param now the present moment
     * @return the state
     */
    public LocalRateLimit takeReserved(Instant now) {
        TokenBucket refilled = bucket.refill(now, share.milliTokensPerSecond(), share.burst());
        TokenBucket remaining = refilled.wholeTokens() >= 1 ? refilled.take(1) : TokenBucket.empty(now);
        return new LocalRateLimit(share, remaining, demand, Math.max(0, reservedTokens - 1));
    }

    /**
     * Returns the operations asked for per second.
     *
     * @param now the present moment
     * @return the estimate
     */
    public double demandPerSecond(Instant now) {
        return demand.perSecondAt(now);
    }
}
