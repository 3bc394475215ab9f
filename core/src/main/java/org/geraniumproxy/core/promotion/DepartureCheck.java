package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Check by the lease holder whether members of a group that have departed may be dropped from its record. The primary
 * is asked for its position first, then the replicas for theirs: once as many replicas as confirm a commit have reached
 * the position of the primary, every commit that a departed member confirmed is held by a database that stays.
 */
public sealed interface DepartureCheck {
    /** Interval between checks of one group; the answers occupy slots of the databases. */
    Duration INTERVAL = Duration.ofSeconds(1);

    /** Input of a check. */
    sealed interface Event {
        /**
         * Time has passed.
         *
         * @param departed members that can't confirm commits any more
         * @param primary primary that serves, or empty if there is none
         */
        record TimePassed(Set<BackendServerName> departed, Optional<BackendServerName> primary) implements Event {}

        /**
         * A database that was asked for its status has answered, or will not.
         *
         * @param database the database
         * @param status its status, or empty without an answer
         */
        record StatusRead(BackendServerName database, Optional<DatabaseStatus> status) implements Event {}
    }

    /**
     * Replicas of the group at the time of an event.
     *
     * @param names replicas with an entry that have not restarted recently
     * @param confirming number of replicas that confirm a commit
     */
    record Replicas(Set<BackendServerName> names, int confirming) {
        /** Copies the set. */
        public Replicas {
            names = Set.copyOf(names);
        }
    }

    /**
     * No check is in progress.
     *
     * @param notBefore time of the next check
     */
    record Waiting(Instant notBefore) implements DepartureCheck {}

    /**
     * The primary was asked for its position.
     *
     * @param departed members to be dropped
     * @param primary the primary
     */
    record AwaitingPrimary(Set<BackendServerName> departed, BackendServerName primary) implements DepartureCheck {}

    /**
     * The replicas were asked for their positions.
     *
     * @param departed members to be dropped
     * @param position position of the primary that the replicas must have reached
     * @param pending replicas that have not answered
     * @param missing number of further replicas that must have reached the position
     */
    record AwaitingReplicas(
            Set<BackendServerName> departed, LogPosition position, Set<BackendServerName> pending, int missing)
            implements DepartureCheck {
        /** Returns the check after an answer, or empty if it has failed. */
        private Optional<DepartureCheck> answered(Event.StatusRead read) {
            boolean reached = read.status()
                    .filter(status -> !status.primary())
                    .filter(status -> status.received().compareTo(position) >= 0)
                    .isPresent();
            int stillMissing = missing - (reached ? 1 : 0);
            if (stillMissing == 0) {
                return Optional.of(new Settled(departed, position));
            }
            Set<BackendServerName> rest = new HashSet<>(pending);
            rest.remove(read.database());
            return rest.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new AwaitingReplicas(departed, position, rest, stillMissing));
        }
    }

    /**
     * The commits of the departed members are held by others.
     *
     * @param departed members to be dropped
     * @param position position of the primary that enough replicas have reached
     */
    record Settled(Set<BackendServerName> departed, LogPosition position) implements DepartureCheck {}

    /**
     * Returns the check of a group of which nothing is known.
     *
     * @return a check that begins as soon as a member has departed
     */
    static DepartureCheck initial() {
        return new Waiting(Instant.MIN);
    }

    /**
     * Returns the members that may be dropped from the record.
     *
     * @return names of members, none unless the check has ended well
     */
    default Set<BackendServerName> settled() {
        return this instanceof Settled settled ? settled.departed() : Set.of();
    }

    /**
     * Applies an event.
     *
     * @param event input of the check
     * @param replicas replicas of the group
     * @param now current time
     * @return next state and the databases to be asked for their status
     */
    default Transition<DepartureCheck, BackendServerName> on(Event event, Replicas replicas, Instant now) {
        return switch (event) {
            case Event.TimePassed passed -> timePassed(passed, now);
            case Event.StatusRead read -> statusRead(read, replicas, now);
        };
    }

    private Transition<DepartureCheck, BackendServerName> timePassed(Event.TimePassed passed, Instant now) {
        Instant notBefore = switch (this) {
            case Waiting waiting -> waiting.notBefore();
            case Settled _ -> now;
            case AwaitingPrimary _, AwaitingReplicas _ -> Instant.MAX;
        };
        if (passed.departed().isEmpty() || passed.primary().isEmpty() || now.isBefore(notBefore)) {
            return Transition.to(this, List.of());
        }
        BackendServerName primary = passed.primary().get();
        return Transition.to(new AwaitingPrimary(Set.copyOf(passed.departed()), primary), List.of(primary));
    }

    private Transition<DepartureCheck, BackendServerName> statusRead(
            Event.StatusRead read, Replicas replicas, Instant now) {
        DepartureCheck repeated = new Waiting(now.plus(INTERVAL));
        return switch (this) {
            case AwaitingPrimary awaiting
            when awaiting.primary().equals(read.database()) ->
                read.status()
                        .filter(DatabaseStatus::primary)
                        .filter(_ -> !replicas.names().isEmpty())
                        .map(status -> Transition.<DepartureCheck, BackendServerName>to(
                                new AwaitingReplicas(
                                        awaiting.departed(),
                                        status.received(),
                                        replicas.names(),
                                        Math.max(1, replicas.confirming())),
                                List.copyOf(replicas.names())))
                        .orElseGet(() -> Transition.to(repeated, List.of()));
            case AwaitingReplicas awaiting
            when awaiting.pending().contains(read.database()) ->
                Transition.to(awaiting.answered(read).orElse(repeated), List.of());
            default -> Transition.to(this, List.of());
        };
    }
}
