package org.geraniumproxy.core.directory;

import java.time.Instant;
import java.util.Optional;

/**
 * Times of a database's last answer and of its unanswered requests to this VM.
 *
 * @param lastAnswerAt time of the last answer, empty if there was none
 * @param failingSince time of the first failure since the last answer, empty if there was none
 * @param commitsFailingSince time of the first unacknowledged commit since the last acknowledged one, empty if there
 *     was none
 */
public record DatabaseHealth(
        Optional<Instant> lastAnswerAt, Optional<Instant> failingSince, Optional<Instant> commitsFailingSince) {
    /** Health of a database that this VM has not used. */
    public static final DatabaseHealth UNUSED =
            new DatabaseHealth(Optional.empty(), Optional.empty(), Optional.empty());

    /**
     * Records an answer. Only an acknowledged commit ends a failure of commits.
     *
     * @param now current time
     * @param acknowledgedCommit whether the answer acknowledged a commit
     * @return updated health
     */
    public DatabaseHealth answered(Instant now, boolean acknowledgedCommit) {
        return new DatabaseHealth(
                Optional.of(now), Optional.empty(), acknowledgedCommit ? Optional.empty() : commitsFailingSince);
    }

    /**
     * Records a missing answer or a failed connection.
     *
     * @param now current time
     * @param commitUnacknowledged whether the acknowledgement of a commit is missing
     * @return updated health
     */
    public DatabaseHealth failed(Instant now, boolean commitUnacknowledged) {
        Optional<Instant> since = failingSince.isPresent() ? failingSince : Optional.of(now);
        Optional<Instant> commits =
                commitUnacknowledged && commitsFailingSince.isEmpty() ? Optional.of(now) : commitsFailingSince;
        return new DatabaseHealth(lastAnswerAt, since, commits);
    }
}
