package org.geraniumproxy.core.limit;

/**
 * Share of a customer's rate and burst held by one VM.
 *
 * @param milliTokensPerSecond rate in thousandths of a token per second
 * @param burst maximum number of accumulated tokens, zero if the VM holds no share
 */
public record RateShare(long milliTokensPerSecond, long burst) {
    /** Share of a VM that may admit no requests of its own. */
    public static final RateShare NONE = new RateShare(0, 0);

    private static final double MILLI_TOKENS_PER_TOKEN = 1000;

    /**
     * Validates the share.
     *
     * @throws IllegalArgumentException if rate or burst is negative
     */
    public RateShare {
        if (milliTokensPerSecond < 0 || burst < 0) {
            throw new IllegalArgumentException("rate and burst of a share must not be negative");
        }
    }

    /**
     * Returns the share of one holder. The shares of all holders add up exactly to the burst and to the rate rounded
     * down to thousandths. The burst is divided into whole tokens, because a holder with a burst of less than one token
     * could never admit a request. A customer therefore has at most as many holders as tokens in its burst.
     *
     * @param ratePerSecond the customer's rate
     * @param burst the customer's burst
     * @param position the holder's position
     * @return the share, {@link #NONE} if the VM is not a holder
     */
    public static RateShare of(double ratePerSecond, int burst, HolderPosition position) {
        if (!position.isHolder()) {
            return NONE;
        }
        long rate = (long) Math.floor(ratePerSecond * MILLI_TOKENS_PER_TOKEN);
        return new RateShare(portion(rate, position), portion(burst, position));
    }

    /**
     * Returns the minimum of two shares, taken separately for rate and burst.
     *
     * @param other the other share
     * @return the minimum of both
     */
    public RateShare minimum(RateShare other) {
        return new RateShare(Math.min(milliTokensPerSecond, other.milliTokensPerSecond), Math.min(burst, other.burst));
    }

    private static long portion(long total, HolderPosition position) {
        long remainder = total % position.holderCount();
        return total / position.holderCount() + (position.index() < remainder ? 1 : 0);
    }
}
