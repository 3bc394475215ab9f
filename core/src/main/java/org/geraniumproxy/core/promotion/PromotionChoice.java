package org.geraniumproxy.core.promotion;

import java.util.Comparator;
import java.util.HashMap;
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
     * @param situation the group
     * @param stopped states of the replicas that have stopped receiving
     * @return the choice
     */
    static PromotionChoice of(GroupSituation situation, Map<BackendServerName, DatabaseStatus> stopped) {
        Map<BackendServerName, DatabaseEntry> replicas = new HashMap<>(situation.databases());
        situation.primary().ifPresent(replicas::remove);
        long proven = stopped.keySet().stream()
                .filter(replicas::containsKey)
                .filter(database -> !situation.unproven().contains(database))
                .count();
        int confirming = Math.max(1, situation.synchronousReplicas());
        long needed = Math.max(1, replicas.size() - confirming + 1L);
        if (proven < needed) {
            return new Insufficient("stopped " + proven + " of " + replicas.size() + " replicas, needed " + needed);
        }
        Optional<Map.Entry<BackendServerName, DatabaseStatus>> best = stopped.entrySet().stream()
                .filter(entry -> isEligible(situation, entry.getKey()))
                .max(Comparator.comparing((Map.Entry<BackendServerName, DatabaseStatus> entry) ->
                                entry.getValue().received())
                        .thenComparing(entry -> entry.getKey().value()));
        LogPosition highest = stopped.values().stream()
                .map(DatabaseStatus::received)
                .max(Comparator.naturalOrder())
                .orElse(LogPosition.START);
        if (best.isEmpty() || best.get().getValue().received().compareTo(highest) < 0) {
            return new Insufficient("no database that stays has the highest position " + text(highest));
        }
        return new Chosen(best.get().getKey());
    }

    private static boolean isEligible(GroupSituation situation, BackendServerName database) {
        DatabaseEntry entry = situation.databases().get(database);
        return entry != null && !entry.draining();
    }

    private static String text(LogPosition position) {
        return position.term().number() + "." + position.position();
    }
}
