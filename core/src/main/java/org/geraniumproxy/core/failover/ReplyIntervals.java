package org.geraniumproxy.core.failover;

import java.time.Duration;

/**
 * Smoothed mean and mean deviation of the intervals between a database's replies. The gains of 1/8 and 1/4 are those of
 * TCP's round-trip time estimator (RFC 6298).
 *
 * @param mean smoothed mean
 * @param deviation smoothed mean deviation
 */
public record ReplyIntervals(Duration mean, Duration deviation) {
    /** Estimate before the first interval: the time for which a database holds a status request. */
    public static final ReplyIntervals INITIAL = new ReplyIntervals(FailoverTiming.MAXIMUM_STATUS_WAIT, Duration.ZERO);

    /** Cap on a single interval, so that an outage does not delay the detection of the next one. */
    private static final Duration MAXIMUM_INTERVAL = Duration.ofSeconds(1);

    /**
     * Returns the estimate updated with an interval.
     *
     * @param interval time between two consecutive replies
     * @return the new estimate
     */
    public ReplyIntervals observe(Duration interval) {
        Duration capped = interval.compareTo(MAXIMUM_INTERVAL) > 0 ? MAXIMUM_INTERVAL : interval;
        Duration error = capped.minus(mean);
        Duration newDeviation = deviation.plus(error.abs().minus(deviation).dividedBy(4));
        return new ReplyIntervals(mean.plus(error.dividedBy(8)), newDeviation);
    }
}
