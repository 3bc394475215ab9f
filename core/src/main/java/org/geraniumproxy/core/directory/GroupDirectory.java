package org.geraniumproxy.core.directory;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.StoreRevision;

/**
 * The databases of a group and the evidence of which one is the primary.
 *
 * @param databases databases by name
 * @param claim newest primary claim from a promotion or from a database
 * @param demotedRevisions entry revision at which each database refused a write as a replica although its entry says
 *     primary
 */
public record GroupDirectory(
        Map<BackendServerName, DatabaseEntry> databases,
        Optional<PrimaryClaim> claim,
        Map<BackendServerName, StoreRevision> demotedRevisions) {
    /** A group without databases. */
    public static final GroupDirectory EMPTY = new GroupDirectory(Map.of(), Optional.empty(), Map.of());

    /** Copies the maps. */
    public GroupDirectory {
        databases = Map.copyOf(databases);
        demotedRevisions = Map.copyOf(demotedRevisions);
    }

    /**
     * Returns the database to send writes to: the claimed primary unless it has refused a write as a replica, else the
     * database with the newest entry that says primary and that has not refused a write since.
     *
     * @return primary, or empty if none is known
     */
    public Optional<DatabaseEntry> primary() {
        Optional<DatabaseEntry> claimed = claim.map(known -> databases.get(known.database()));
        if (claimed.isPresent() && !isDemoted(claimed.get())) {
            return claimed;
        }
        return databases.values().stream()
                .filter(DatabaseEntry::primary)
                .filter(entry -> !isDemoted(entry))
                .max(Comparator.comparing(DatabaseEntry::revision));
    }

    /**
     * Returns the replicas that are not draining.
     *
     * @return replicas in the order of their names
     */
    public List<DatabaseEntry> readableReplicas() {
        Optional<BackendServerName> primary = primary().map(DatabaseEntry::name);
        return databases.values().stream()
                .filter(entry -> !entry.draining())
                .filter(entry -> !primary.equals(Optional.of(entry.name())))
                .sorted(Comparator.comparing(entry -> entry.name().value()))
                .toList();
    }

    private boolean isDemoted(DatabaseEntry entry) {
        StoreRevision revision = demotedRevisions.get(entry.name());
        return revision != null && !entry.revision().isAfter(revision);
    }
}
