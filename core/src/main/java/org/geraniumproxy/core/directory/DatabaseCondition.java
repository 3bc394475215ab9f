package org.geraniumproxy.core.directory;

import java.time.Duration;
import java.time.Instant;

/**
 * What this VM's own traffic shows about a database.
 *
 * <p>Example: {@code DatabaseCondition.UNUSED.lagging(now).avoidUntil()} is shortly after {@code now}.
 *
 * @param health when it answered and failed
 * @param latency usual time of a statement there, network included
 * @param avoidUntil moment until which reads go elsewhere because it lags or does not answer
 */
public record DatabaseCondition(DatabaseHealth health, Duration latency, Instant avoidUntil) {
    /** A database that this VM has not used; the latency is that of a read in another region. */
    public static final DatabaseCondition UNUSED =
            new DatabaseCondition(DatabaseHealth.UNUSED, Duration.ofMillis(20), Instant.MIN);

    /** Time for which reads avoid a database that lagged: several times the usual replication delay. */
    static final Duration LAG_AVOIDANCE_TIME = Duration.ofMillis(150);

    /** Time for which reads avoid a database that does not answer. */
    static final Duration FAILURE_AVOIDANCE_TIME = Duration.ofSeconds(1);

    /** A new sample counts for one part in this many of the usual latency. */
    private static final int LATENCY_SMOOTHING_DIVISOR = 8;

    /**
     * Records an answer that says nothing about the time of a statement.
     *
     * @param now the present moment
     * @return the condition
     */
    public DatabaseCondition answered(Instant now) {
        return new DatabaseCondition(health.answered(now, false), latency, avoidUntil);
    }

    /**
     * Records the answer to a statement.
     *
     * @param duration time from sending to the answer
     * @param acknowledgedCommit whether it acknowledged a commit
     * @param now the present moment
     * @return the condition
     */
    public DatabaseCondition answered(Duration duration, boolean acknowledgedCommit, Instant now) {
        Duration smoothed = latency.plus(duration.minus(latency).dividedBy(LATENCY_SMOOTHING_DIVISOR));
        return new DatabaseCondition(health.answered(now, acknowledgedCommit), smoothed, avoidUntil);
    }

    /**
     * Records that an answer or a connection did not come.
     *
     * @param commitUnacknowledged whether the acknowledgement of a commit is missing
     * @param now the present moment
     * @return the condition
     */
    public DatabaseCondition failed(boolean commitUnacknowledged, Instant now) {
        return new DatabaseCondition(
                health.failed(now, commitUnacknowledged), latency, now.plus(FAILURE_AVOIDANCE_TIME));
    }

    /**
     * Records that the database lacked a position that a read needs.
     *
     * @param now the present moment
     * @return the condition
     */
    public DatabaseCondition lagging(Instant now) {
        return new DatabaseCondition(health, latency, now.plus(LAG_AVOIDANCE_TIME));
    }

    /**
     * Tells whether the database answered after a moment.
     *
     * @param moment the moment
     * @return true if its last answer is younger
     */
    public boolean hasAnsweredSince(Instant moment) {
        return health.lastAnswerAt().map(at -> at.isAfter(moment)).orElse(false);
    }
}
