package org.geraniumproxy.core.failover;

import java.util.Set;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;

/** What a supervisor learns. A reply that never arrives is no event: time passing without it is. */
public sealed interface FailoverEvent {
    /** Some time has passed; sent every {@link FailoverTiming#TICK_INTERVAL}. */
    record TimePassed() implements FailoverEvent {}

    /**
     * A database has answered a {@link FailoverEffect.RequestStatus}.
     *
     * @param poll number of the request
     * @param status the report
     */
    record PollAnswered(long poll, BackendStatus status) implements FailoverEvent {}

    /**
     * A database has reported its status to a request that traffic caused.
     *
     * @param status the report
     */
    record StatusReceived(BackendStatus status) implements FailoverEvent {}

    /**
     * The store has answered an announcement.
     *
     * @param term the announced term
     * @param recordTerm term of the group record after the announcement
     */
    record AnnouncementAnswered(Term term, Term recordTerm) implements FailoverEvent {}

    /**
     * The store can't be reached for an announcement.
     *
     * @param term the announced term
     */
    record AnnouncementFailed(Term term) implements FailoverEvent {}

    /**
     * A database has answered a fence.
     *
     * @param term the term of the fence
     * @param accepted whether the database accepted it
     * @param status status of the database after the fence
     */
    record FenceAnswered(Term term, boolean accepted, BackendStatus status) implements FailoverEvent {}

    /**
     * A database has answered a promotion.
     *
     * @param backendServer the database
     * @param term the term
     * @param accepted whether it is the primary of the term
     * @param startPosition start position of the term
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
     * The operators have changed the group.
     *
     * @param group the new group
     */
    record GroupChanged(DatabaseGroup group) implements FailoverEvent {}

    /**
     * The platform's list marks backend servers as leaving.
     *
     * @param backendServers all that are marked
     */
    record LeavingServersListed(Set<BackendServerName> backendServers) implements FailoverEvent {
        /** Copies the set. */
        public LeavingServersListed {
            backendServers = Set.copyOf(backendServers);
        }
    }
}
