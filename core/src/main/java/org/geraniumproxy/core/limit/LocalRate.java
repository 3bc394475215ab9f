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
 */
public record LocalRate(RateShare share, TokenBucket bucket, DemandEstimate demand) {
    /** Whether an operation may run, and the state afterwards. */
    public sealed interface Admission {
        /**
         * Returns the state afterwards.
         *
         * @return the state
         */
        LocalRate next();

        /**
         * The operation may run.
         *
         * @param next the state afterwards
         */
        record Admitted(LocalRate next) implements Admission {}

        /**
         * The operation is over the rate.
         *
         * @param next the state afterwards
         * @param retryAfter time after which a token is expected
         */
        record Refused(LocalRate next, Duration retryAfter) implements Admission {}
    }

    /**
     * Returns the state of a VM that has no share yet.
     *
     * @param now the present moment
     * @return the state
     */
    public static LocalRate none(Instant now) {
        return new LocalRate(RateShare.NONE, TokenBucket.empty(now), DemandEstimate.none(now));
    }

    /**
     * Puts a share in force. Tokens beyond its burst are dropped.
     *
     * @param next the share
     * @param now the present moment
     * @return the state
     */
    public LocalRate withShare(RateShare next, Instant now) {
        TokenBucket refilled = bucket.refill(now, share.milliTokensPerSecond(), share.burst());
        return new LocalRate(next, refilled.clamp(next.burst()), demand);
    }

    /**
     * Admits or refuses an operation.
     *
     * @param now the present moment
     * @return the decision
     */
    public Admission admit(Instant now) {
        TokenBucket refilled = bucket.refill(now, share.milliTokensPerSecond(), share.burst());
        DemandEstimate asked = demand.withArrival(now);
        if (refilled.wholeTokens() >= 1) {
            return new Admission.Admitted(new LocalRate(share, refilled.take(1), asked));
        }
        Duration wait = refilled.timeUntil(1, share.milliTokensPerSecond());
        return new Admission.Refused(new LocalRate(share, refilled, asked), wait);
    }

    /**
     * Returns the operations asked for per second.
     *
     * @param now the present moment
     * @return the estimate
     */
    public double demandPerSecond(Instant now) {
        return demand.at(now);
    }
}
