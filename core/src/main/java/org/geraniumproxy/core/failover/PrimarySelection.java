package org.geraniumproxy.core.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.BackendServerName;

/** Selects the database to promote among the fenced ones. */
public final class PrimarySelection {
    /**
     * Orders logs by the term of the last entry, then by position. Positions alone are not comparable, because logs of
     * different terms may have diverged.
     */
    public static final Comparator<BackendStatus> BY_LOG_RECENCY =
            Comparator.comparing(BackendStatus::lastEntryTerm).thenComparingLong(BackendStatus::position);

    private PrimarySelection() {}

    /**
     * Selects the database with the most up-to-date log. Leaving databases are skipped if the others still form a
     * majority, because any majority holds every acknowledged write.
     *
     * @param group the group
     * @param fenced status of each fenced database after the fence; at least a majority
     * @param leaving databases to avoid, in addition to those that report themselves as leaving
     * @return the status of the selected database
     * @throws InvariantViolation if the fenced databases are not a majority
     */
    public static BackendStatus select(
            DatabaseGroup group, Collection<BackendStatus> fenced, Set<BackendServerName> leaving) {
        InvariantViolation.check(
                fenced.size() >= group.majoritySize(), "fenced databases are not a majority of group " + group.name());
        List<BackendStatus> staying = fenced.stream()
                .filter(status -> !status.leaving() && !leaving.contains(status.backendServer()))
                .toList();
        Collection<BackendStatus> candidates = staying.size() >= group.majoritySize() ? staying : fenced;
        Comparator<BackendStatus> order = BY_LOG_RECENCY
                .thenComparing(status -> staying.contains(status))
                .thenComparing(BackendStatus::backendServer, Comparator.reverseOrder());
        return candidates.stream().max(order).orElseThrow();
    }
}
