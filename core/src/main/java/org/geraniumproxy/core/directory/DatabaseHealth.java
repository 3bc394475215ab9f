package org.geraniumproxy.core.directory;

import java.time.Instant;
import java.util.Optional;

/**
 * How a database has answered this VM lately.
 *
 * @param lastAnswerAt moment of its last answer
 * @param failingSince first failure since its last answer
 * @param commitsFailingSince first commit without an acknowledgement since the last acknowledged one
 */
public record DatabaseHealth(
        Optional<Instant> lastAnswerAt, Optional<Instant> failingSince, Optional<Instant> commitsFailingSince) {
    /** A database that this VM has not used. */
    public static final DatabaseHealth UNUSED =
            new DatabaseHealth(Optional.empty(), Optional.empty(), Optional.empty());

    /**
     * Records an answer.
     *
     * @param now the present moment
     * @param acknowledgedCommit whether it acknowledged a commit
     * @return the health
     */
    public DatabaseHealth answered(Instant now, boolean acknowledgedCommit) {
        return new DatabaseHealth(
                Optional.of(now), Optional.empty(), acknowledgedCommit ? Optional.empty() : commitsFailingSince);
    }

    /**
     * Records that an answer or a connection did not come.
     *
     * @param now the present moment
     * @param commitUnacknowledged whether the acknowledgement of a commit is missing
     * @return the health
     */
    public DatabaseHealth failed(Instant now, boolean commitUnacknowledged) {
        Optional<Instant> since = failingSince.isPresent() ? failingSince : Optional.of(now);
        Optional<Instant> commits =
                commitUnacknowledged && commitsFailingSince.isEmpty() ? Optional.of(now) : commitsFailingSince;
        return new DatabaseHealth(lastAnswerAt, since, commits);
    }
}
