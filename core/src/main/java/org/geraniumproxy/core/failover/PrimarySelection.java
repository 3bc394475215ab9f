package org.geraniumproxy.core.failover;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.BackendServerName;

/** Chooses the database to promote among the fenced ones. */
public final class PrimarySelection {
    /**
     * Order of logs: by the term of the last entry, then by position. Positions of different histories are not
     * comparable.
     */
    public static final Comparator<BackendStatus> BY_LOG_RECENCY =
            Comparator.comparing(BackendStatus::lastEntryTerm).thenComparingLong(BackendStatus::position);

    private PrimarySelection() {}

    /**
     * Chooses the database with the highest log. Leaving databases are passed over if the others still form a majority,
     * because each majority holds every acknowledged write.
     *
     * @param group the group
     * @param fenced statuses after the fence, of a majority of the databases
     * @param leaving databases that are leaving
     * @return the status of the chosen database
     * @throws InvariantViolation if the fenced databases are no majority
     */
    public static BackendStatus select(
            DatabaseGroup group, Collection<BackendStatus> fenced, Set<BackendServerName> leaving) {
        InvariantViolation.check(
                fenced.size() >= group.majoritySize(), "choice among less than a majority of group " + group.name());
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
