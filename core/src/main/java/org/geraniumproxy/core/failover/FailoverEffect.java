package org.geraniumproxy.core.failover;

import java.time.Duration;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;

/** What a supervisor asks its adapter to do. Each effect may get lost; the decision repeats it. */
public sealed interface FailoverEffect {
    /**
     * Ask a database for its status.
     *
     * @param backendServer the database
     * @param maximumWait longest wait at the database
     * @param poll number to return in {@link FailoverEvent.PollAnswered}
     */
    record RequestStatus(BackendServerName backendServer, Duration maximumWait, long poll) implements FailoverEffect {}

    /**
     * Announce a promotion in the group record, unless the record holds a higher term.
     *
     * @param announced the record of the announced term
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
     * Make a database the primary.
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
     * Publish the result of a promotion in the group record, unless the record holds a higher term.
     *
     * @param completed the record with the primary
     */
    record Publish(GroupRecord completed) implements FailoverEffect {}

    /**
     * Report a step to the operators.
     *
     * @param message the step
     */
    record Report(String message) implements FailoverEffect {}
}
