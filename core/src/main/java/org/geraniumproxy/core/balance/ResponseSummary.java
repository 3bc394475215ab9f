package org.geraniumproxy.core.balance;

import java.time.Duration;

/**
 * Recent responses of a database to one VM or to several.
 *
 * @param answered number of statements answered, each weighted by its age
 * @param failed number of statements refused, failed or not answered, each weighted by its age
 * @param serviceTime mean time from sending a statement to its answer, 0 if none was answered
 */
public record ResponseSummary(double answered, double failed, Duration serviceTime) {
    /** No responses. */
    public static final ResponseSummary NONE = new ResponseSummary(0, 0, Duration.ZERO);

    /**
     * Adds the responses to other VMs.
     *
     * @param other responses of the same database
     * @return responses to all of them
     */
    public ResponseSummary plus(ResponseSummary other) {
        double sum = answered + other.answered;
        double nanos = answered * serviceTime.toNanos() + other.answered * other.serviceTime.toNanos();
        return new ResponseSummary(
                sum, failed + other.failed, sum > 0 ? Duration.ofNanos(Math.round(nanos / sum)) : Duration.ZERO);
    }

    double failureRatio() {
        return failed > 0 ? failed / (answered + failed) : 0;
    }
}
