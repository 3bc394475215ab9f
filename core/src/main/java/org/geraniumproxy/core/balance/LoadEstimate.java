package org.geraniumproxy.core.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Optional;

/**
 * Expected number of statements in progress at a database.
 *
 * @param own statements of this VM that wait for or use a slot now
 * @param reported load of the other VMs, or empty if no report is known
 */
public record LoadEstimate(int own, Optional<ReportedLoad> reported) {
    /**
     * Half-life of the difference between a report and the mean of the candidates: the interval of the reports. The
     * statements that a report counted have ended by then, and other VMs have reacted to the same report.
     */
    static final Duration REPORT_HALF_LIFE = Duration.ofMillis(500);

    /** Age from which a report is ignored: several reports are missing, so that the sender may be gone. */
    public static final Duration MAXIMUM_AGE = Duration.ofSeconds(3);

    /**
     * Returns the mean of the reported loads.
     *
     * @param estimates estimates of the candidates for a read
     * @param now current time
     * @return mean of the candidates with a report, 0 if there is none
     */
    public static double meanReported(Collection<LoadEstimate> estimates, Instant now) {
        return estimates.stream()
                .map(estimate -> estimate.others(now))
                .flatMap(Optional::stream)
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
    }

    private Optional<Double> others(Instant now) {
        return reported.filter(load -> load.age(now).compareTo(MAXIMUM_AGE) < 0).map(ReportedLoad::outstanding);
    }

    /**
     * Returns the expected load.
     *
     * @param mean mean of the reported loads of all candidates, 0 if none is known
     * @param now current time
     * @return statements in progress
     */
    public double expected(double mean, Instant now) {
        return own
                + others(now)
                        .map(others -> mean
                                + (others - mean)
                                        * Decay.factor(reported.orElseThrow().age(now), REPORT_HALF_LIFE))
                        .orElse(mean);
    }
}
