package org.geraniumproxy.core.promotion;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * What the holder of the duty knows about a group.
 *
 * @param databases the databases that confirm commits, those that left among them
 * @param suspected databases that count as gone but may only be cut off from the store, and confirm commits too
 * @param primary the database believed to lead
 * @param reason why the primary is to be replaced, if it is
 * @param newestTerm newest term that any VM saw
 * @param recentlyRestarted databases that started again lately: they may have lost what they once confirmed
 * @param synchronousReplicas replicas that have received a commit before it is acknowledged
 * @param acknowledged position that a log must reach to hold every commit known to be acknowledged
 * @param intent the last announced order
 */
public record GroupSnapshot(
        Map<BackendServerName, DatabaseEntry> databases,
        Map<BackendServerName, DatabaseEntry> suspected,
        Optional<BackendServerName> primary,
        Optional<PromotionReason> reason,
        long newestTerm,
        Set<BackendServerName> recentlyRestarted,
        int synchronousReplicas,
        Optional<LogPosition> acknowledged,
        Optional<PromotionIntent> intent) {
    /** Copies the collections. */
    public GroupSnapshot {
        databases = Map.copyOf(databases);
        suspected = Map.copyOf(suspected);
        recentlyRestarted = Set.copyOf(recentlyRestarted);
    }

    /** Databases that are asked to stop: all that may confirm a commit but the primary itself. */
    Set<BackendServerName> replicas() {
        Set<BackendServerName> replicas = new HashSet<>(databases.keySet());
        replicas.addAll(suspected.keySet());
        primary.ifPresent(replicas::remove);
        return replicas;
    }
}
