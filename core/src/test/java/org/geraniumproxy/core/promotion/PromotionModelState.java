package org.geraniumproxy.core.promotion;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * State of the {@link PromotionModel}.
 *
 * @param group databases and their logs
 * @param network commands and requests that may still be carried out
 * @param store promotion intent and entries in the store
 * @param leaseHolder present lease holder
 * @param faultCounts faults so far, which are limited
 */
record PromotionModelState(
        Group group, Network network, Store store, LeaseHolder leaseHolder, FaultCounts faultCounts) {
    /** A database whose log is a text of entries, each of a letter for the commit and a digit for the term. */
    record Database(String log, boolean running, long stoppedTerm) {
        LogPosition position() {
            return log.isEmpty()
                    ? LogPosition.START
                    : LogPosition.of(log.charAt(log.length() - 1) - '0', log.length() / 2);
        }
    }

    record Command(int holder, int database, BackendCommand command, Optional<AttemptId> attempt, boolean awaited) {}

    record Request(int holder, int target, long token, boolean awaited) {}

    record Group(List<Database> databases, int primary, long term, int commits, String acknowledged) {
        Database primaryDatabase() {
            return databases.get(primary);
        }

        Group with(int index, Database database) {
            List<Database> changed = new ArrayList<>(databases);
            changed.set(index, database);
            return new Group(changed, primary, term, commits, acknowledged);
        }

        Group withPrimary(int next) {
            return new Group(databases, next, term, commits, acknowledged);
        }

        Group withCommit() {
            String log = primaryDatabase().log() + (char) ('a' + commits) + term;
            Group written = with(primary, new Database(log, true, 0));
            return new Group(written.databases, primary, term, commits + 1, acknowledged);
        }

        Group withAcknowledged(String next) {
            return new Group(databases, primary, term, commits, next);
        }
    }

    /** A write of an intent that the store has not answered and may do late. */
    record IntentWrite(PromotionIntent intent, long expectedRevision, long token) {}

    /** Entry of a database, as the lease holder knows it. */
    enum Entry {
        PRESENT,
        /** It was present and is not any more. */
        EXPIRED,
        /** It has never been present. */
        ABSENT,
        /** It has never been present, and the database does not run yet. */
        NOT_JOINED
    }

    /**
     * Contents of the store.
     *
     * @param intent promotion intent of the group
     * @param revision number of writes of the intent
     * @param lateWrite write of an intent that the store may still do
     * @param lastEntry entry of the last database; the others are present
     */
    record Store(Optional<PromotionIntent> intent, long revision, Optional<IntentWrite> lateWrite, Entry lastEntry) {
        Store(Optional<PromotionIntent> intent, long revision, Optional<IntentWrite> lateWrite) {
            this(intent, revision, lateWrite, Entry.PRESENT);
        }

        Store with(PromotionIntent written) {
            return new Store(Optional.of(written), revision + 1, lateWrite, lastEntry);
        }

        Store withLate(Optional<IntentWrite> write) {
            return new Store(intent, revision, write, lastEntry);
        }

        Store with(Entry entry) {
            return new Store(intent, revision, lateWrite, entry);
        }
    }

    record Network(Set<Command> commands, Set<Request> requests, long highestToken) {
        Network without(Command command) {
            Set<Command> rest = new HashSet<>(commands);
            rest.remove(command);
            return new Network(rest, requests, highestToken);
        }

        Network withUnanswered(Command command) {
            Set<Command> next = new HashSet<>(commands);
            next.remove(command);
            next.add(new Command(command.holder(), command.database(), command.command(), command.attempt(), false));
            return new Network(next, requests, highestToken);
        }

        Network withRequests(Set<Request> next, long token) {
            return new Network(commands, next, token);
        }
    }

    record LeaseHolder(int holder, long token, PromotionState state) {}

    record FaultCounts(int attempts, int crashes, int lostAnswers) {
        FaultCounts withLostAnswer() {
            return new FaultCounts(attempts, crashes, lostAnswers + 1);
        }
    }

    PromotionModelState with(Group next) {
        return new PromotionModelState(next, network, store, leaseHolder, faultCounts);
    }

    PromotionModelState with(Network next) {
        return new PromotionModelState(group, next, store, leaseHolder, faultCounts);
    }

    PromotionModelState with(Store next) {
        return new PromotionModelState(group, network, next, leaseHolder, faultCounts);
    }

    PromotionModelState with(LeaseHolder next) {
        return new PromotionModelState(group, network, store, next, faultCounts);
    }

    PromotionModelState with(FaultCounts next) {
        return new PromotionModelState(group, network, store, leaseHolder, next);
    }
}
