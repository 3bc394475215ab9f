package org.geraniumproxy.core.promotion;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
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
     * @param target database to promote
     */
    record Chosen(BackendServerName target) implements PromotionChoice {}

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
     * @param pendingTarget database that an earlier request may still promote
     * @return the database with the highest position, or the missing evidence
     */
    static PromotionChoice of(
            GroupSnapshot snapshot,
            Map<BackendServerName, DatabaseStatus> stopped,
            Optional<BackendServerName> pendingTarget) {
        long provenCount = stopped.keySet().stream()
                .filter(database -> !snapshot.recentlyRestarted().contains(database))
                .count();
        long replicas = snapshot.replicas().stream()
                .filter(database -> snapshot.databases().containsKey(database) || stopped.containsKey(database))
                .count();
        int confirming = Math.max(1, snapshot.synchronousReplicas());
        long needed = Math.max(1, replicas - confirming + 1L);
        if (provenCount < needed) {
            return new Insufficient("stopped " + provenCount + " of " + replicas + " replicas, needed " + needed);
        }
        LogPosition highest = stopped.values().stream()
                .map(DatabaseStatus::received)
                .max(Comparator.naturalOrder())
                .orElse(LogPosition.START);
        if (snapshot.synchronousReplicas() > 0 && isBehind(highest, snapshot.acknowledged())) {
            return new Insufficient("highest position " + text(highest) + " lacks acknowledged commits up to "
                    + snapshot.acknowledged().map(PromotionChoice::text).orElseThrow());
        }
        if (pendingTarget.isPresent()) {
            return choosePending(pendingTarget.get(), highest, stopped);
        }
        return stopped.keySet().stream()
                .filter(database -> stopped.get(database).received().equals(highest))
                .filter(database -> isEligible(snapshot, database))
                .max(Comparator.comparing((BackendServerName database) -> isRemaining(snapshot, database))
                        .thenComparing(BackendServerName::value))
                .<PromotionChoice>map(Chosen::new)
                .orElseGet(() -> new Insufficient("no database that stays has the highest position " + text(highest)));
    }

    /** Chooses the database that an earlier request may promote anyway, if its log is as long as any other. */
    private static PromotionChoice choosePending(
            BackendServerName pending, LogPosition highest, Map<BackendServerName, DatabaseStatus> stopped) {
        DatabaseStatus status = stopped.get(pending);
        return status != null && status.received().equals(highest)
                ? new Chosen(pending)
                : new Insufficient("an earlier request may still promote " + pending
                        + ", which does not have the highest position " + text(highest));
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
        boolean primaryServes = snapshot.reason().equals(Optional.of(PromotionReason.LEAVING));
        return isRemaining(snapshot, database) || !primaryServes;
    }

    private static boolean isRemaining(GroupSnapshot snapshot, BackendServerName database) {
        DatabaseEntry entry = snapshot.databases().get(database);
        return entry != null && !entry.draining();
    }

    private static String text(LogPosition position) {
        return position.term().number() + "." + position.position();
    }
}
