package org.geraniumproxy.core.caller;

import java.util.Map;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.service.ServiceConfiguration;

/**
 * What the control thread publishes to the traffic thread.
 *
 * @param configuration the newest configuration
 * @param groups the databases of each group that take statements
 * @param formerDatabases databases that take no statements any more but may be asked for their state
 * @param draining whether callers are asked to leave
 * @param vmCount VMs that share the connections of a database, at least one
 */
public record TrafficView(
        ServiceConfiguration configuration,
        Map<GroupName, GroupDirectory> groups,
        Map<BackendServerName, DatabaseEntry> formerDatabases,
        boolean draining,
        int vmCount) {
    /** Nothing is known yet. */
    public static final TrafficView NONE = new TrafficView(ServiceConfiguration.NONE, Map.of(), Map.of(), false, 1);

    /** Copies the maps. */
    public TrafficView {
        groups = Map.copyOf(groups);
        formerDatabases = Map.copyOf(formerDatabases);
    }

    /**
     * Returns the databases of a group.
     *
     * @param group the group
     * @return its directory, empty if no database announces itself
     */
    public GroupDirectory directoryOf(GroupName group) {
        return groups.getOrDefault(group, GroupDirectory.EMPTY);
    }
}
