package org.geraniumproxy.core.failover;

import java.time.Duration;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;

/**
 * Action that a supervisor requests from its adapter. An effect may be lost: the state machine never assumes that it
 * was executed, and repeats unanswered status requests and commands.
 */
public sealed interface FailoverEffect {
    /**
     * Request the status of a database.
     *
     * @param backendServer the database
     * @param maximumWait longest time for which the database may hold the request
     * @param poll sequence number to return in {@link FailoverEvent.PollAnswered}
     */
    record RequestStatus(BackendServerName backendServer, Duration maximumWait, long poll) implements FailoverEffect {}

    /**
     * Announce a promotion in the stored group record, unless that record has a higher term.
     *
     * @param announced record with the announced term and no primary
     */
    record Announce(GroupRecord announced) implements FailoverEffect {}

    /**
     * Raise the lowest term that a database accepts.
     *
     * @param backendServer the database
     * @param term the term
     */
    record Fence(BackendServerName backendServer, Term term) implements FailoverEffect {}

    /**
     * Make a database the primary of a term.
     *
     * @param backendServer the database
     * @param term the term
     */
    record Promote(BackendServerName backendServer, Term term) implements FailoverEffect {}

    /**
     * Make a database replicate from the primary.
     *
     * @param backendServer the database
     * @param term the term
     * @param primary the primary of the term
     */
    record Follow(BackendServerName backendServer, Term term, BackendServerName primary) implements FailoverEffect {}

    /**
     * Publish the result of a promotion in the stored group record, unless that record has a higher term.
     *
     * @param completed record with the new primary
     */
    record Publish(GroupRecord completed) implements FailoverEffect {}

    /**
     * Log a step for operators.
     *
     * @param message text of the log line
     */
    record Report(String message) implements FailoverEffect {}
}
