package org.geraniumproxy.core.caller;

import java.util.Map;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.service.ServiceConfiguration;

/**
 * Snapshot of the control state that the control thread publishes to the traffic thread.
 *
 * @param configuration the latest configuration
 * @param groups databases that accept statements, by group
 * @param formerDatabases databases that no longer accept statements but can be queried for their status
 * @param draining whether this VM closes idle callers before it stops
 * @param vmCount number of VMs that share the connections of a database, at least 1
 */
public record TrafficView(
        ServiceConfiguration configuration,
        Map<GroupName, GroupDirectory> groups,
        Map<BackendServerName, DatabaseEntry> formerDatabases,
        boolean draining,
        int vmCount) {
    /** The view before any configuration is known. */
    public static final TrafficView NONE = new TrafficView(ServiceConfiguration.NONE, Map.of(), Map.of(), false, 1);

    /** Makes unmodifiable copies of the maps. */
    public TrafficView {
        groups = Map.copyOf(groups);
        formerDatabases = Map.copyOf(formerDatabases);
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
}
