package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.promotion.DepartedMembers;

/**
 * Databases of a group without an entry that may have confirmed commits which the others lack.
 *
 * @param suspected last entries by database name
 * @param recordedOnly those of which only the record of the group is evidence
 */
public record DepartedDatabases(Map<BackendServerName, DatabaseEntry> suspected, DepartedMembers recordedOnly) {
    /** Copies the map. */
    public DepartedDatabases {
        suspected = Map.copyOf(suspected);
    }

    /**
     * Returns the departed databases of a group. One that only the record names counts until the primary has not
     * answered for {@link FleetState#ACKNOWLEDGED_POSITION_RETENTION}, after which the group continues without the
     * commits that it may lack.
     *
     * @param state what this VM knows
     * @param group name of the group
     * @param now current time
     * @return the databases that a promotion must count
     */
    public static DepartedDatabases of(FleetState state, GroupName group, Instant now) {
        Optional<PrimaryPositionHistory.Sample> position =
                Optional.ofNullable(state.lastReport().primaryPositions().get(group));
        Map<BackendServerName, DatabaseEntry> suspected = new HashMap<>(state.suspected(group));
        Map<BackendServerName, Instant> learnedAt = new HashMap<>();
        for (BackendServerName name : Set.copyOf(suspected.keySet())) {
            TrackedDatabase database = state.databases().byName().get(name);
            if (database.isRecordedOnly()) {
                Instant since = database.missingSince().orElseThrow();
                if (isOver(since, position, now)) {
                    suspected.remove(name);
                } else {
                    learnedAt.put(name, since);
                }
            }
        }
        return new DepartedDatabases(
                suspected, learnedAt.isEmpty() ? DepartedMembers.NONE : new DepartedMembers(learnedAt, position));
    }

    private static boolean isOver(Instant since, Optional<PrimaryPositionHistory.Sample> position, Instant now) {
        Instant last = position.map(PrimaryPositionHistory.Sample::coversCommitsBefore)
                .filter(read -> read.isAfter(since))
                .orElse(since);
        return Duration.between(last, now).compareTo(FleetState.ACKNOWLEDGED_POSITION_RETENTION) >= 0;
    }

    /**
     * Returns the databases without an entry that can't confirm a commit any more: those that have left as announced,
     * and those whose entry has been missing so long that they are no longer expected to run.
     *
     * @param state what this VM knows
     * @param now current time
     * @return names of databases of all groups
     */
    public static Set<BackendServerName> ended(FleetState state, Instant now) {
        return state.databases().byName().values().stream()
                .filter(database -> database.hasEnded(now))
                .map(database -> database.entry().name())
                .collect(Collectors.toSet());
    }
}
