package org.geraniumproxy.core.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.directory.DatabaseAvailability;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.PromotionFences;
import org.geraniumproxy.core.directory.VmLocation;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.routing.PlacementConstraints;
import org.geraniumproxy.core.service.ServiceConfiguration;

/**
 * Snapshot of the control state that the control thread publishes to the traffic thread.
 *
 * @param configuration the latest configuration
 * @param groups databases that accept statements, by group
 * @param formerDatabases databases that no longer accept statements but can be queried for their status
 * @param drain times by which sessions must have ended because this VM stops, or empty while it doesn't stop
 * @param vmCount number of VMs that share the connections of a database, at least 1
 * @param watchedGroups groups whose primaries this VM probes
 * @param positionSources VMs that tell the positions of the other primaries
 * @param promotionFences bounds that promotions set on the commits of each group
 * @param vmLocations locations of the registered VMs
 * @param constraints where statements may run
 */
public record TrafficView(
        ServiceConfiguration configuration,
        Map<GroupName, GroupDirectory> groups,
        Map<BackendServerName, DatabaseEntry> formerDatabases,
        Optional<CallerDrain> drain,
        int vmCount,
        Set<GroupName> watchedGroups,
        List<PositionSource> positionSources,
        Map<GroupName, PromotionFences> promotionFences,
        Map<VmName, VmLocation> vmLocations,
        PlacementConstraints constraints) {
    /** The view before any configuration is known. */
    public static final TrafficView NONE = new TrafficView(
            ServiceConfiguration.NONE,
            Map.of(),
            Map.of(),
            Optional.empty(),
            1,
            Set.of(),
            List.of(),
            Map.of(),
            Map.of(),
            PlacementConstraints.NONE);

    /** Makes unmodifiable copies of the collections. */
    public TrafficView {
        groups = Map.copyOf(groups);
        formerDatabases = Map.copyOf(formerDatabases);
        watchedGroups = Set.copyOf(watchedGroups);
        positionSources = List.copyOf(positionSources);
        promotionFences = Map.copyOf(promotionFences);
        vmLocations = Map.copyOf(vmLocations);
    }

    /**
     * Returns the directory of a group.
     *
     * @param group name of the group
     * @return the directory, empty if no database of the group is registered
     */
    public GroupDirectory directoryOf(GroupName group) {
        return groups.getOrDefault(group, GroupDirectory.EMPTY);
    }

    /**
     * Returns a database of a group, whether it accepts statements or not.
     *
     * @param group name of the group
     * @param database name of the database
     * @return its entry, or empty if it is unknown
     */
    public Optional<DatabaseEntry> database(GroupName group, BackendServerName database) {
        return Optional.ofNullable(directoryOf(group).databases().get(database))
                .or(() -> Optional.ofNullable(formerDatabases.get(database)));
    }

    /**
     * Counts the databases that accept no statements by the reason. A database in an evacuated failure domain counts as
     * evacuated, whatever else is true of it.
     *
     * @return number of databases by their availability
     */
    public Map<DatabaseAvailability, Long> formerDatabaseCounts() {
        return formerDatabases.values().stream()
                .collect(Collectors.groupingBy(this::reasonOutOfUse, Collectors.counting()));
    }

    private DatabaseAvailability reasonOutOfUse(DatabaseEntry entry) {
        if (constraints.phaseOf(entry).isPresent()) {
            return DatabaseAvailability.EVACUATED;
        }
        return entry.draining() ? DatabaseAvailability.LEFT : DatabaseAvailability.GONE;
    }

    /**
     * Returns the bounds that promotions set on the commits of a group.
     *
     * @param group name of the group
     * @return the bounds, none if no promotion of the group is known
     */
    public PromotionFences fencesOf(GroupName group) {
        return promotionFences.getOrDefault(group, PromotionFences.NONE);
    }
}
