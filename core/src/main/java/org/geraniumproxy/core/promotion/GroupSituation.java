package org.geraniumproxy.core.promotion;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * What the holder of the duty knows about a group.
 *
 * @param databases the databases that may hold acknowledged commits
 * @param primary the database believed to lead
 * @param reason why the primary is to be replaced, if it is
 * @param newestTerm newest term that any VM saw
 * @param unproven databases that started again lately: they may have lost what they once confirmed
 * @param synchronousReplicas replicas that have received a commit before it is acknowledged
 * @param announced the last announced order
 */
public record GroupSituation(
        Map<BackendServerName, DatabaseEntry> databases,
        Optional<BackendServerName> primary,
        Optional<PromotionReason> reason,
        long newestTerm,
        Set<BackendServerName> unproven,
        int synchronousReplicas,
        Optional<AnnouncedOrder> announced) {
    /** Copies the collections. */
    public GroupSituation {
        databases = Map.copyOf(databases);
        unproven = Set.copyOf(unproven);
    }
}
