package org.geraniumproxy.core.failover;

import java.util.Set;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;

/**
 * Input of a supervisor's state machine. A missing reply has no event of its own; it is detected on {@link TimePassed}.
 */
public sealed interface FailoverEvent {
    /** Time has passed; sent every {@link FailoverTiming#TICK_INTERVAL}. */
    record TimePassed() implements FailoverEvent {}

    /**
     * A database has replied to a {@link FailoverEffect.RequestStatus}.
     *
     * @param poll sequence number of the request
     * @param status the report
     */
    record PollAnswered(long poll, BackendStatus status) implements FailoverEvent {}

    /**
     * A database has reported its status outside the polling loop, to a request caused by traffic.
     *
     * @param status the report
     */
    record StatusReceived(BackendStatus status) implements FailoverEvent {}

    /**
     * The store has replied to an announcement.
     *
     * @param term the announced term
     * @param recordTerm term of the group record after the announcement
     */
    record AnnouncementAnswered(Term term, Term recordTerm) implements FailoverEvent {}

    /**
     * The store could not be reached for an announcement.
     *
     * @param term the announced term
     */
    record AnnouncementFailed(Term term) implements FailoverEvent {}

    /**
     * A database has replied to a fence command.
     *
     * @param term the term of the command
     * @param accepted false if the database is fenced at a higher term
     * @param status status of the database after the fence
     */
    record FenceAnswered(Term term, boolean accepted, BackendStatus status) implements FailoverEvent {}

    /**
     * A database has replied to a promote command.
     *
     * @param backendServer the database
     * @param term the term
     * @param accepted whether the database is now the primary of the term
     * @param startPosition log position at which the term starts, meaningful only if accepted
     */
    record PromotionAnswered(BackendServerName backendServer, Term term, boolean accepted, long startPosition)
            implements FailoverEvent {}

    /**
     * The rank of this VM for the group has changed.
     *
     * @param rank 0 for the coordinator, 1 for the standby
     */
    record RankChanged(int rank) implements FailoverEvent {}

    /**
     * The configuration of the group has changed.
     *
     * @param group the new group
     */
    record GroupChanged(DatabaseGroup group) implements FailoverEvent {}

    /**
     * The platform's list of leaving backend servers has changed.
     *
     * @param backendServers all backend servers that the list marks as leaving
     */
    record LeavingServersListed(Set<BackendServerName> backendServers) implements FailoverEvent {
        /** Makes the set immutable. */
        public LeavingServersListed {
            backendServers = Set.copyOf(backendServers);
        }
    }
}
