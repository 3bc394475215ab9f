package org.geraniumproxy.core.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.identity.VmName;

/**
 * Rate of one customer at the VM that owns it: the token bucket of the whole fleet. An owner starts without tokens, and
 * lends none until the previous owner must have learned that it isn't the owner any more.
 *
 * @param bucket tokens of the whole fleet
 * @param lendsFrom time from which this VM lends
 * @param lastAnswers last answer to each VM, so that a repeated request takes no further tokens
 */
public record OwnedRate(PacedRate bucket, Instant lendsFrom, Map<VmName, TokenAnswer.Granted> lastAnswers) {
    /**
     * Time after the change of an owner during which the new one lends nothing. A previous owner that lost the store
     * without noticing learns of the change when its watch ends, or stops when its registration is not renewed.
     */
    public static final Duration TAKEOVER_DELAY = Duration.ofSeconds(3);

    /** Copies the answers. */
    public OwnedRate {
        lastAnswers = Map.copyOf(lastAnswers);
    }

    /**
     * The answer to a request.
     *
     * @param next state after the answer
     * @param answer answer to the borrower
     */
    public record Result(OwnedRate next, TokenAnswer answer) {}

    /**
     * Returns the state of a VM that has just become the owner.
     *
     * @param tokensPerSecond rate of the customer
     * @param burst burst of the customer
     * @param takeoverDelay time during which another VM may still lend the rate, at most {@link #TAKEOVER_DELAY}
     * @param now current time
     * @return a state without tokens
     */
    public static OwnedRate initial(double tokensPerSecond, double burst, Duration takeoverDelay, Instant now) {
        Instant lendsFrom = now.plus(takeoverDelay);
        return new OwnedRate(PacedRate.empty(tokensPerSecond, burst, lendsFrom), lendsFrom, Map.of());
    }

    /**
     * Applies other limits. During a takeover the bucket remains empty until this VM lends: its time until it is full
     * includes the rest of the takeover, which would otherwise count as tokens that accrue at the rate of the old
     * limits and are missing, or left over, at that of the new ones.
     *
     * @param tokensPerSecond rate that this VM may lend
     * @param burst burst that this VM may lend
     * @param now current time
     * @return the state with the limits
     */
    public OwnedRate withLimits(double tokensPerSecond, double burst, Instant now) {
        PacedRate limited = lends(now)
                ? bucket.withLimits(tokensPerSecond, burst, now)
                : PacedRate.empty(tokensPerSecond, burst, lendsFrom);
        return new OwnedRate(limited, lendsFrom, lastAnswers);
    }

    /**
     * Ends the takeover, because the previous owner has stopped lending.
     *
     * @param tokens tokens that the previous owner had left
     * @param now current time
     * @return the state that lends from now on; unchanged if it lends already
     */
    public OwnedRate withHandover(long tokens, Instant now) {
        if (lends(now)) {
            return this;
        }
        double received = Math.min((double) tokens, bucket.burst());
        PacedRate filled = PacedRate.holding(bucket.tokensPerSecond(), bucket.burst(), received, now);
        return new OwnedRate(filled, now, lastAnswers);
    }

    /**
     * Returns whether this VM lends tokens.
     *
     * @param now current time
     * @return false during a takeover
     */
    public boolean lends(Instant now) {
        return !now.isBefore(lendsFrom);
    }

    /**
     * Returns the tokens that can be lent at once.
     *
     * @param now current time
     * @return whole tokens
     */
    public long availableTokens(Instant now) {
        return lends(now) ? bucket.tokensWithin(Duration.ZERO, now) : 0;
    }

    /**
     * Forgets the answers to VMs that have left the fleet.
     *
     * @param remaining VMs of the fleet
     * @return the state without the others
     */
    public OwnedRate retainBorrowers(Set<VmName> remaining) {
        Map<VmName, TokenAnswer.Granted> retained = new HashMap<>(lastAnswers);
        retained.keySet().retainAll(remaining);
        return new OwnedRate(bucket, lendsFrom, retained);
    }

    /**
     * Answers a request. Grants the needed tokens that are due within the wait of the request, and the further ones
     * that are available at once.
     *
     * @param request request of a VM, which may be this one
     * @param now current time
     * @return the answer and the next state
     */
    public Result answer(TokenRequest request, Instant now) {
        if (!lends(now)) {
            return new Result(this, new TokenAnswer.NotLending(request.customer(), request.requestId()));
        }
        TokenAnswer.Granted last = lastAnswers.get(request.borrower());
        if (last != null && last.requestId() == request.requestId()) {
            return new Result(this, last);
        }
        long needed = Math.min(request.needed(), bucket.tokensWithin(request.maximumWait(), now));
        long ahead = Math.min(request.ahead(), Math.max(0, bucket.tokensWithin(Duration.ZERO, now) - needed));
        int granted = (int) (needed + ahead);
        Duration delay = bucket.waitFor(granted, now);
        PacedRate remaining = bucket.take(granted, now);
        TokenAnswer.Granted answer = new TokenAnswer.Granted(
                request.customer(), request.requestId(), granted, delay, remaining.waitFor(1, now));
        Map<VmName, TokenAnswer.Granted> answers = new HashMap<>(lastAnswers);
        answers.put(request.borrower(), answer);
        return new Result(new OwnedRate(remaining, lendsFrom, answers), answer);
    }
}
