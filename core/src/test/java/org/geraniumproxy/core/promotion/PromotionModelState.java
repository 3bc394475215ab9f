package org.geraniumproxy.core.promotion;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.directory.PromotionFence;
import org.geraniumproxy.core.directory.PromotionFences;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * State of the {@link PromotionModel}.
 *
 * @param group databases and their logs
 * @param network commands and requests that may still be carried out
 * @param store promotion intent and entries in the store
 * @param leaseHolder present lease holder
 * @param faultCounts faults so far, which are limited
 * @param callers what the nodes know that pass commits on to callers
 */
record PromotionModelState(
        Group group, Network network, Store store, LeaseHolder leaseHolder, FaultCounts faultCounts, Callers callers) {
    /** A database whose log is a text of entries, each of a letter for the commit and a digit for the term. */
    record Database(String log, boolean running, long stoppedTerm) {
        LogPosition position() {
            return log.isEmpty()
                    ? LogPosition.START
                    : LogPosition.of(log.charAt(log.length() - 1) - '0', log.length() / 2);
        }
    }

    record Command(int holder, int database, BackendCommand command, Optional<AttemptId> attempt, boolean awaited) {}

    /** A promotion request, or one that the platform accepted and that has not taken effect yet. */
    record Request(int holder, int target, long token, boolean awaited, boolean accepted) {}

    /** Confirmation of a commit that the node has not passed on. */
    record Reply(String commit, int database, LogPosition position) {}

    /**
     * Nodes that pass commits on to callers. One stands for all: each decides by what it knows itself, and the holder
     * waits for all of them.
     *
     * @param intent newest promotion intent that the node knows
     * @param earlier fences of earlier intents that were not refused, oldest first
     * @param replies confirmed commits that callers were not told of
     * @param acknowledged last position that callers were told of
     * @param primaryPosition last position of the primary that a node has read since the nodes started
     */
    record Callers(
            Optional<PromotionIntent> intent,
            List<PromotionFence> earlier,
            List<Reply> replies,
            LogPosition acknowledged,
            Optional<LogPosition> primaryPosition) {
        static final Callers NONE =
                new Callers(Optional.empty(), List.of(), List.of(), LogPosition.START, Optional.empty());

        Callers withPrimaryPosition(LogPosition position) {
            return new Callers(intent, earlier, replies, acknowledged, Optional.of(position));
        }

        /** Returns whether the nodes enforce the fence of an intent. */
        boolean know(Optional<PromotionIntent> recorded) {
            return intent.equals(recorded);
        }

        Callers learned(Optional<PromotionIntent> next) {
            if (next.isEmpty() || know(next)) {
                return this;
            }
            List<PromotionFence> fences = new ArrayList<>(earlier);
            intent.filter(known -> known.progress() != PromotionIntent.Progress.REFUSED)
                    .ifPresent(known -> fences.add(known.fence()));
            String promotion = next.get().fence().promotion();
            fences.removeIf(fence -> fence.promotion().equals(promotion));
            return new Callers(next, fences, replies, acknowledged, primaryPosition);
        }

        /** Returns what a node knows that has just started and has read the store. */
        Callers restarted(Optional<PromotionIntent> recorded, boolean positionIsKnown) {
            return new Callers(
                    recorded,
                    List.of(),
                    List.of(),
                    positionIsKnown ? acknowledged : LogPosition.START,
                    Optional.empty());
        }

        /** Returns the bounds on commits. The node learns at once that a promotion has taken effect. */
        PromotionFences fences(Group group) {
            List<PromotionFence> fences = new ArrayList<>(earlier);
            intent.filter(known -> known.progress() != PromotionIntent.Progress.REFUSED)
                    .ifPresent(known -> fences.add(known.fence()));
            Optional<BackendServerName> primary = group.primary() == PromotionModel.NO_PRIMARY
                    ? Optional.empty()
                    : Optional.of(PromotionModel.name(group.primary()));
            boolean open = intent.filter(known -> known.progress() == PromotionIntent.Progress.OPEN)
                    .filter(known -> !primary.equals(Optional.of(known.target())) || group.term() < known.term())
                    .isPresent();
            return new PromotionFences(fences, open ? Optional.of(Instant.EPOCH) : Optional.empty());
        }

        /** Adds the commits of the primary's log that are confirmed for the first time. */
        Callers confirmed(Group group) {
            List<Reply> next = new ArrayList<>(replies);
            List<String> entries =
                    PromotionModel.entries(group.primaryDatabase().log());
            for (int index = 0; index < entries.size(); index++) {
                String entry = entries.get(index);
                boolean known = group.acknowledged().contains(entry)
                        || replies.stream().anyMatch(reply -> reply.commit().equals(entry));
                if (!known) {
                    LogPosition position = LogPosition.of(entry.charAt(1) - '0', index + 1);
                    next.add(new Reply(entry, group.primary(), position));
                }
            }
            return new Callers(intent, earlier, List.copyOf(next), acknowledged, primaryPosition);
        }

        Callers passedOn(Reply reply) {
            List<Reply> rest = new ArrayList<>(replies);
            rest.remove(reply);
            LogPosition last = reply.position().compareTo(acknowledged) > 0 ? reply.position() : acknowledged;
            return new Callers(intent, earlier, List.copyOf(rest), last, primaryPosition);
        }
    }

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

    PromotionModelState with(Callers next) {
        return new PromotionModelState(group, network, store, leaseHolder, faultCounts, next);
    }

    PromotionModelState with(Group next) {
        return new PromotionModelState(next, network, store, leaseHolder, faultCounts, callers);
    }

    PromotionModelState with(Network next) {
        return new PromotionModelState(group, next, store, leaseHolder, faultCounts, callers);
    }

    PromotionModelState with(Store next) {
        return new PromotionModelState(group, network, next, leaseHolder, faultCounts, callers);
    }

    PromotionModelState with(LeaseHolder next) {
        return new PromotionModelState(group, network, store, next, faultCounts, callers);
    }

    PromotionModelState with(FaultCounts next) {
        return new PromotionModelState(group, network, store, leaseHolder, next, callers);
    }
}
