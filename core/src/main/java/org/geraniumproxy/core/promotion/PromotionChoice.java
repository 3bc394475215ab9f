package org.geraniumproxy.core.promotion;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.promotion.PromotionPhase.Attempt;

/**
 * Choice of a database that can become primary without losing an acknowledged commit. A commit is acknowledged once the
 * primary and enough replicas hold it. There are two proofs. A primary that has stepped down acknowledges nothing
 * beyond its last position, so a log that reaches this position is safe. Otherwise enough replicas must have stopped
 * receiving that at least one of them holds each acknowledged commit, and no stopped log may be ahead of the chosen
 * one. A member that departed before this process started counts for the second proof unless the chosen log reaches a
 * position of the primary that was read since. A database in an evacuated failure domain counts for either proof, but
 * is never chosen. In a group whose primary acknowledges commits alone the second proof does not hold; all replicas are
 * stopped and the longest log is chosen.
 */
public sealed interface PromotionChoice {
    /**
     * The database can become primary.
     *
     * @param candidate database to promote
     */
    record Chosen(PromotionCandidate candidate) implements PromotionChoice {}

    /**
     * No database is proven to hold all acknowledged commits.
     *
     * @param reason missing evidence, for the log
     */
    record Insufficient(String reason) implements PromotionChoice {}

    /**
     * Chooses a database after all replicas have answered or timed out.
     *
     * @param attempt current attempt
     * @param stopped status of each database that has stopped receiving
     * @param resumable replicas that an unanswered command may still resume
     * @return the chosen database, or the missing evidence
     */
    static PromotionChoice of(
            Attempt attempt, Map<BackendServerName, DatabaseStatus> stopped, Set<BackendServerName> resumable) {
        Optional<PromotionChoice> holder = holderOfLastPosition(attempt, stopped, _ -> true);
        if (holder.isPresent()) {
            return holder.get();
        }
        if (attempt.lastPosition().isPresent() && attempt.snapshot().primary().isPresent()) {
            return new Insufficient("no database that stopped" + outsideEvacuation(attempt.snapshot())
                    + " has the last position " + text(attempt.lastPosition().get()) + " of the old primary");
        }
        return longestLog(attempt, stopped, resumable);
    }

    /**
     * Chooses a database that stays and holds the whole log of a primary that has stepped down. It needs no answer of
     * other replicas.
     *
     * @param attempt current attempt
     * @param stopped status of each database that has stopped receiving
     * @return the chosen database, or empty if none is known yet
     */
    static Optional<PromotionChoice> ofRemaining(Attempt attempt, Map<BackendServerName, DatabaseStatus> stopped) {
        return holderOfLastPosition(attempt, stopped, database -> isRemaining(attempt.snapshot(), database));
    }

    private static Optional<PromotionChoice> holderOfLastPosition(
            Attempt attempt, Map<BackendServerName, DatabaseStatus> stopped, Predicate<BackendServerName> eligible) {
        return attempt.lastPosition()
                .flatMap(last -> stopped.keySet().stream()
                        .filter(database -> stopped.get(database).received().compareTo(last) >= 0)
                        .filter(database -> !attempt.snapshot().evacuated().contains(database))
                        .filter(eligible)
                        .max(preference(attempt))
                        .<PromotionChoice>map(database -> new Chosen(new PromotionCandidate(
                                database,
                                stopped.get(database).received(),
                                new CommitProof.PrimarySteppedDown(last),
                                isSteady(attempt.snapshot(), database)))));
    }

    private static PromotionChoice longestLog(
            Attempt attempt, Map<BackendServerName, DatabaseStatus> stopped, Set<BackendServerName> resumable) {
        GroupSnapshot snapshot = attempt.snapshot();
        Set<BackendServerName> proven = new HashSet<>(stopped.keySet());
        proven.retainAll(snapshot.replicas());
        proven.removeAll(snapshot.recentlyRestarted());
        LogPosition highest = stopped.values().stream()
                .map(DatabaseStatus::received)
                .max(Comparator.naturalOrder())
                .orElse(LogPosition.START);
        int replicas = countedReplicas(snapshot, proven, highest);
        int confirming = Math.max(1, snapshot.synchronousReplicas());
        int needed = Math.max(1, replicas - confirming + 1);
        if (proven.size() < needed) {
            return new Insufficient("stopped " + proven.size() + " of " + replicas + " replicas, needed " + needed
                    + "; commits may have been confirmed by " + unproven(snapshot, proven)
                    + departedEvidence(snapshot, proven));
        }
        if (snapshot.synchronousReplicas() > 0 && isBehind(highest, snapshot.acknowledged())) {
            return new Insufficient("highest position " + text(highest) + " lacks acknowledged commits up to "
                    + snapshot.acknowledged().map(PromotionChoice::text).orElseThrow());
        }
        Predicate<BackendServerName> steady = target -> countSteady(proven, resumable, target) >= needed;
        return stopped.keySet().stream()
                .filter(database -> stopped.get(database).received().equals(highest))
                .filter(database -> !snapshot.evacuated().contains(database))
                .max(Comparator.comparing(attempt::isPendingTarget)
                        .thenComparing(database -> isRemaining(snapshot, database))
                        .thenComparing(steady::test)
                        .thenComparing(BackendServerName::value))
                .map(target -> confirm(snapshot, stopped, target, steady.test(target)))
                .orElseGet(() -> new Insufficient("no database that stopped" + outsideEvacuation(snapshot)
                        + " has the highest position " + text(highest)));
    }

    /**
     * Counts the replicas that may have confirmed a commit which the chosen log lacks. Without synchronous replicas no
     * replica has confirmed any.
     */
    private static int countedReplicas(GroupSnapshot snapshot, Set<BackendServerName> proven, LogPosition highest) {
        Set<BackendServerName> counted = new HashSet<>(snapshot.replicas());
        if (snapshot.synchronousReplicas() == 0 || snapshot.departed().areCoveredBy(highest)) {
            counted.removeAll(unprovenDeparted(snapshot, proven));
        }
        return counted.size();
    }

    private static Set<BackendServerName> unprovenDeparted(GroupSnapshot snapshot, Set<BackendServerName> proven) {
        Set<BackendServerName> departed = new HashSet<>(snapshot.departed().names());
        departed.removeAll(proven);
        return departed;
    }

    private static String departedEvidence(GroupSnapshot snapshot, Set<BackendServerName> proven) {
        return unprovenDeparted(snapshot, proven).isEmpty()
                ? ""
                : "; members known only from the record of the group: "
                        + snapshot.departed().describeBound();
    }

    private static String outsideEvacuation(GroupSnapshot snapshot) {
        return snapshot.evacuated().isEmpty()
                ? ""
                : ", outside the evacuated "
                        + snapshot.evacuated().stream()
                                .map(BackendServerName::value)
                                .sorted()
                                .toList() + ",";
    }

    private static String unproven(GroupSnapshot snapshot, Set<BackendServerName> proven) {
        return snapshot.replicas().stream()
                .filter(replica -> !proven.contains(replica))
                .map(replica -> snapshot.suspected().containsKey(replica) ? replica + " (no entry)" : replica.value())
                .sorted()
                .collect(Collectors.joining(", "));
    }

    private static Comparator<BackendServerName> preference(Attempt attempt) {
        return Comparator.comparing(attempt::isPendingTarget)
                .thenComparing(database -> isRemaining(attempt.snapshot(), database))
                .thenComparing(BackendServerName::value);
    }

    /**
     * Counts the replicas that stay stopped until the promotion. Commits that the target itself confirms are in its
     * log, so it may be resumed.
     */
    private static long countSteady(
            Set<BackendServerName> proven, Set<BackendServerName> resumable, BackendServerName target) {
        return proven.stream()
                .filter(database -> database.equals(target) || !resumable.contains(database))
                .count();
    }

    /**
     * Requires the old primary to step down if replicas may be resumed before the promotion takes effect, unless no
     * database of the group leads.
     */
    private static PromotionChoice confirm(
            GroupSnapshot snapshot,
            Map<BackendServerName, DatabaseStatus> stopped,
            BackendServerName target,
            boolean steady) {
        LogPosition received = stopped.get(target).received();
        if (steady || (snapshot.primary().isEmpty() && stopped.keySet().containsAll(snapshot.replicas()))) {
            return new Chosen(new PromotionCandidate(
                    target,
                    received,
                    new CommitProof.ReplicasStopped(snapshot.replicas()),
                    isSteady(snapshot, target)));
        }
        return snapshot.primary().isPresent()
                ? new Chosen(new PromotionCandidate(
                        target,
                        received,
                        new CommitProof.ReplicasStoppedUntilStepDown(snapshot.replicas()),
                        isSteady(snapshot, target)))
                : new Insufficient(
                        "an unanswered command may resume a replica, and a database that did not answer may lead");
    }

    /**
     * Returns whether the stopped replicas lack acknowledged commits. Only the primary then holds them, so the
     * promotion waits for it.
     */
    private static boolean isBehind(LogPosition highest, Optional<LogPosition> acknowledged) {
        return acknowledged.map(position -> highest.compareTo(position) < 0).orElse(false);
    }

    /**
     * Returns whether a database stays and has not restarted, after which it may hold nothing of before.
     *
     * @param snapshot state of the group
     * @param database name of the database
     * @return false if it drains, has no entry or has restarted recently
     */
    static boolean isSteady(GroupSnapshot snapshot, BackendServerName database) {
        return isRemaining(snapshot, database) && !snapshot.recentlyRestarted().contains(database);
    }

    private static boolean isRemaining(GroupSnapshot snapshot, BackendServerName database) {
        DatabaseEntry entry = snapshot.databases().get(database);
        return entry != null && !entry.draining();
    }

    /**
     * Formats a position for the log.
     *
     * @param position position of a log
     * @return term and number
     */
    static String text(LogPosition position) {
        return position.term().number() + "." + position.position();
    }
}
