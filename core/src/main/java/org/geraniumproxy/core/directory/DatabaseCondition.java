package org.geraniumproxy.core.directory;

import java.time.Duration;
import java.time.Instant;

/**
 * Health, latency and avoidance of a database as seen by this VM's own traffic.
 *
 * <p>Example: {@code DatabaseCondition.UNUSED.lagging(now).avoidUntil()} is shortly after {@code now}.
 *
 * @param health times of answers and failures
 * @param latency moving average of the statement time, including the network
 * @param avoidUntil time until which reads avoid the database because it lags or doesn't answer
 */
public record DatabaseCondition(DatabaseHealth health, Duration latency, Instant avoidUntil) {
    /** Condition of a database that this VM has not used. The latency is typical of a read in another region. */
    public static final DatabaseCondition UNUSED =
            new DatabaseCondition(DatabaseHealth.UNUSED, Duration.ofMillis(20), Instant.MIN);

    /** Time for which reads avoid a database that lagged: several times the usual replication lag. */
    static final Duration LAG_AVOIDANCE_TIME = Duration.ofMillis(150);

    /** Time for which reads avoid a database after a missing answer. */
    static final Duration FAILURE_AVOIDANCE_TIME = Duration.ofSeconds(1);

    /** Divisor of the moving average: a new sample has a weight of one in this many. */
    private static final int LATENCY_SMOOTHING_DIVISOR = 8;

    /**
     * Records an answer that is no latency sample.
     *
     * @param now current time
     * @return updated condition
     */
    public DatabaseCondition answered(Instant now) {
        return new DatabaseCondition(health.answered(now, false), latency, avoidUntil);
    }

    /**
     * Records the answer to a statement.
     *
     * @param duration time from sending to the answer
     * @param acknowledgedCommit whether the answer acknowledged a commit
     * @param now current time
     * @return updated condition
     */
    public DatabaseCondition answered(Duration duration, boolean acknowledgedCommit, Instant now) {
        Duration smoothed = latency.plus(duration.minus(latency).dividedBy(LATENCY_SMOOTHING_DIVISOR));
        return new DatabaseCondition(health.answered(now, acknowledgedCommit), smoothed, avoidUntil);
    }

    /**
     * Records a missing answer or a failed connection.
     *
     * @param commitUnacknowledged whether the acknowledgement of a commit is missing
     * @param now current time
     * @return updated condition
     */
    public DatabaseCondition failed(boolean commitUnacknowledged, Instant now) {
        return new DatabaseCondition(
                health.failed(now, commitUnacknowledged), latency, now.plus(FAILURE_AVOIDANCE_TIME));
    }

    /**
     * Records that the database had not reached the position that a read needs.
     *
     * @param now current time
     * @return updated condition
     */
    public DatabaseCondition lagging(Instant now) {
        return new DatabaseCondition(health, latency, now.plus(LAG_AVOIDANCE_TIME));
    }

    /**
     * Returns whether the database has answered after a given time.
     *
     * @param moment lower bound, exclusive
     * @return false if it has never answered
     */
    public boolean hasAnsweredSince(Instant moment) {
        return health.lastAnswerAt().map(at -> at.isAfter(moment)).orElse(false);
    }
}
