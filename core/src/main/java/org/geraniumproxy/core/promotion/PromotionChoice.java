package org.geraniumproxy.core.promotion;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Choice of a database that can become primary without losing an acknowledged commit. A commit is acknowledged once the
 * primary and enough replicas hold it. The choice is safe if enough replicas have stopped receiving that at least one
 * of them holds each acknowledged commit, and no stopped log is ahead of the chosen one. In a group whose primary
 * acknowledges commits alone there is no such proof; all replicas are stopped and the longest log is chosen.
 */
public sealed interface PromotionChoice {
    /**
     * The database can become primary.
     *
     * @param candidate database to promote
     * @param stepDown what the old primary must have answered before the promotion is requested
     */
    record Chosen(PromotionCandidate candidate, StepDownRequirement stepDown) implements PromotionChoice {}

    /**
     * No database is proven to hold all acknowledged commits.
     *
     * @param reason missing evidence, for the log
     */
    record Insufficient(String reason) implements PromotionChoice {}

    /**
     * Chooses a database.
     *
     * @param snapshot state of the group
     * @param stopped status of each replica that has stopped receiving; a subset of the replicas of the snapshot
     * @param resumable replicas that an unanswered command may still resume
     * @param pendingTarget database that an earlier request may still promote
     * @return the database with the highest position, or the missing evidence
     */
    static PromotionChoice of(
            GroupSnapshot snapshot,
            Map<BackendServerName, DatabaseStatus> stopped,
            Set<BackendServerName> resumable,
            Optional<BackendServerName> pendingTarget) {
        Set<BackendServerName> proven = new HashSet<>(stopped.keySet());
        proven.removeAll(snapshot.recentlyRestarted());
        long replicas = snapshot.replicas().stream()
                .filter(database -> snapshot.databases().containsKey(database) || stopped.containsKey(database))
                .count();
        int confirming = Math.max(1, snapshot.synchronousReplicas());
        long needed = Math.max(1, replicas - confirming + 1L);
        if (proven.size() < needed) {
            return new Insufficient("stopped " + proven.size() + " of " + replicas + " replicas, needed " + needed);
        }
        LogPosition highest = stopped.values().stream()
                .map(DatabaseStatus::received)
                .max(Comparator.naturalOrder())
                .orElse(LogPosition.START);
        if (snapshot.synchronousReplicas() > 0 && isBehind(highest, snapshot.acknowledged())) {
            return new Insufficient("highest position " + text(highest) + " lacks acknowledged commits up to "
                    + snapshot.acknowledged().map(PromotionChoice::text).orElseThrow());
        }
        Predicate<BackendServerName> steady = target -> countSteady(proven, resumable, target) >= needed;
        return target(snapshot, stopped, highest, steady, pendingTarget)
                .map(target -> confirm(snapshot, stopped, target, steady.test(target)))
                .orElseGet(() -> new Insufficient(pendingTarget
                        .map(pending -> "an earlier request may still promote " + pending
                                + ", which does not have the highest position " + text(highest))
                        .orElse("no database that stays has the highest position " + text(highest))));
    }

    private static Optional<BackendServerName> target(
            GroupSnapshot snapshot,
            Map<BackendServerName, DatabaseStatus> stopped,
            LogPosition highest,
            Predicate<BackendServerName> steady,
            Optional<BackendServerName> pendingTarget) {
        return stopped.keySet().stream()
                .filter(database -> stopped.get(database).received().equals(highest))
                .filter(database -> pendingTarget.map(database::equals).orElseGet(() -> isEligible(snapshot, database)))
                .max(Comparator.comparing((BackendServerName database) -> isRemaining(snapshot, database))
                        .thenComparing(steady::test)
                        .thenComparing(BackendServerName::value));
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
     * database of the group leads. One that serves steps down in any case, because a replica that restarts receives.
     */
    private static PromotionChoice confirm(
            GroupSnapshot snapshot,
            Map<BackendServerName, DatabaseStatus> stopped,
            BackendServerName target,
            boolean steady) {
        PromotionCandidate candidate =
                new PromotionCandidate(target, stopped.get(target).received());
        if (snapshot.primary().isPresent()) {
            StepDownRequirement whenSteady =
                    primaryServes(snapshot) ? StepDownRequirement.UNLESS_UNREACHABLE : StepDownRequirement.NONE;
            return new Chosen(candidate, steady ? whenSteady : StepDownRequirement.ALWAYS);
        }
        return steady || stopped.keySet().containsAll(snapshot.replicas())
                ? new Chosen(candidate, StepDownRequirement.NONE)
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
     * Returns whether a database may be chosen. A draining one is not needed while the primary serves, because the
     * other replicas catch up. Without a primary they can't, so a draining database with the longest log must be
     * promoted or its commits are lost.
     */
    private static boolean isEligible(GroupSnapshot snapshot, BackendServerName database) {
        return isRemaining(snapshot, database) || !primaryServes(snapshot);
    }

    private static boolean primaryServes(GroupSnapshot snapshot) {
        return snapshot.reason().equals(Optional.of(PromotionReason.LEAVING));
    }

    private static boolean isRemaining(GroupSnapshot snapshot, BackendServerName database) {
        DatabaseEntry entry = snapshot.databases().get(database);
        return entry != null && !entry.draining();
    }

    static String text(LogPosition position) {
        return position.term().number() + "." + position.position();
    }
}
