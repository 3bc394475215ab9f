package org.geraniumproxy.core.failover;

import java.time.Duration;

/**
 * Smoothed mean and deviation of the intervals between the replies of a database. The gains of one eighth and one
 * quarter are those of TCP's estimate of the round-trip time.
 *
 * @param mean smoothed mean
 * @param deviation smoothed mean deviation
 */
public record ReplyIntervals(Duration mean, Duration deviation) {
    /** Estimate before the first interval: status requests wait for 100 ms. */
    public static final ReplyIntervals INITIAL = new ReplyIntervals(FailoverTiming.MAXIMUM_STATUS_WAIT, Duration.ZERO);

    /** Longest interval that counts, so that an outage does not slow down the detection of the next one. */
    private static final Duration MAXIMUM_INTERVAL = Duration.ofSeconds(1);

    /**
     * Returns the estimate after another interval.
     *
     * @param interval time between two replies
     * @return the new estimate
     */
    public ReplyIntervals observe(Duration interval) {
        Duration capped = interval.compareTo(MAXIMUM_INTERVAL) > 0 ? MAXIMUM_INTERVAL : interval;
        Duration error = capped.minus(mean);
        Duration newDeviation = deviation.plus(error.abs().minus(deviation).dividedBy(4));
        return new ReplyIntervals(mean.plus(error.dividedBy(8)), newDeviation);
    }
}
