package org.geraniumproxy.core.promotion;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Which database may take over without losing an acknowledged commit. A commit is acknowledged once the primary and
 * enough replicas hold it. The choice is safe if the replicas that have stopped receiving are so many that every
 * acknowledged commit is on one of them, and the chosen log is not behind any of these. A group whose commits are
 * acknowledged by the primary alone has no such proof; all its replicas are asked and the longest log is chosen.
 */
public sealed interface PromotionChoice {
    /**
     * The database may take over.
     *
     * @param target the database
     */
    record Chosen(BackendServerName target) implements PromotionChoice {}

    /**
     * No choice is proven safe.
     *
     * @param reason what is missing
     */
    record Insufficient(String reason) implements PromotionChoice {}

    /**
     * Chooses a database.
     *
     * @param snapshot the group
     * @param stopped states of the replicas that have stopped receiving, all among those of the situation
     * @return the choice
     */
    static PromotionChoice of(GroupSnapshot snapshot, Map<BackendServerName, DatabaseStatus> stopped) {
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
        return stopped.keySet().stream()
                .filter(database -> stopped.get(database).received().equals(highest))
                .filter(database -> isEligible(snapshot, database))
                .max(Comparator.comparing((BackendServerName database) -> isRemaining(snapshot, database))
                        .thenComparing(BackendServerName::value))
                .<PromotionChoice>map(Chosen::new)
                .orElseGet(() -> new Insufficient("no database that stays has the highest position " + text(highest)));
    }

    /** The only replica that held the last commits is gone, and the primary has them: it is waited for. */
    private static boolean isBehind(LogPosition highest, Optional<LogPosition> acknowledged) {
        return acknowledged.map(position -> highest.compareTo(position) < 0).orElse(false);
    }

    /**
     * The others catch up with one that does not stay while the primary serves; without a primary they never do, and
     * what only that one holds is lost unless it leads until another has it.
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
