package org.geraniumproxy.core.limit;

/**
 * Part of a customer's rate and burst that one VM holds.
 *
 * @param milliTokensPerSecond rate in thousandths of a token per second
 * @param burst tokens that may gather, zero if the VM holds no share
 */
public record RateShare(long milliTokensPerSecond, long burst) {
    /** No share at all. */
    public static final RateShare NONE = new RateShare(0, 0);

    private static final double MILLI_TOKENS_PER_TOKEN = 1000;

    /**
     * Validates the share.
     *
     * @throws IllegalArgumentException if a figure is negative
     */
    public RateShare {
        if (milliTokensPerSecond < 0 || burst < 0) {
            throw new IllegalArgumentException("share must not be negative");
        }
    }

    /**
     * Returns the share of one holder. The shares of all holders sum exactly to the rate, rounded down to thousandths,
     * and to the burst. The division uses whole tokens, because a holder whose burst is below one token could never
     * admit a request; a customer has at most as many holders as its burst has tokens.
     *
     * @param ratePerSecond the customer's rate
     * @param burst the customer's burst
     * @param position the holder's place
     * @return the share
     */
    public static RateShare of(double ratePerSecond, int burst, HolderPosition position) {
        if (!position.isHolder()) {
            return NONE;
        }
        long rate = (long) Math.floor(ratePerSecond * MILLI_TOKENS_PER_TOKEN);
        return new RateShare(portion(rate, position), portion(burst, position));
    }

    /**
     * Returns the smaller of two shares, figure by figure.
     *
     * @param other the other share
     * @return the smaller one
     */
    public RateShare minimum(RateShare other) {
        return new RateShare(Math.min(milliTokensPerSecond, other.milliTokensPerSecond), Math.min(burst, other.burst));
    }

    private static long portion(long total, HolderPosition position) {
        long remainder = total % position.holderCount();
        return total / position.holderCount() + (position.index() < remainder ? 1 : 0);
    }
}
