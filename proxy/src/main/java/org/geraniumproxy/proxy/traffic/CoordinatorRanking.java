package org.geraniumproxy.proxy.traffic;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.routing.CoordinatorSelection;

/**
 * Coordinator and standby of each group, kept until the membership changes. The rank hashes every VM, which is too much
 * work for each request at 6,400 VMs.
 */
final class CoordinatorRanking {
    private final AtomicReference<Cache> cache =
            new AtomicReference<>(new Cache(-1, -1, Set.of(), new ConcurrentHashMap<>()));

    /** Ranks for one membership and configuration. */
    private record Cache(
            long rosterRevision,
            long configurationRevision,
            Set<VmName> unavailableVms,
            Map<GroupName, List<VmName>> ranks) {
        boolean isFor(ControlSnapshot snapshot) {
            return rosterRevision == snapshot.roster().revision()
                    && configurationRevision == snapshot.configuration().revision()
                    && unavailableVms.equals(snapshot.unavailableVms());
        }

        static Cache emptyFor(ControlSnapshot snapshot) {
            return new Cache(
                    snapshot.roster().revision(),
                    snapshot.configuration().revision(),
                    snapshot.unavailableVms(),
                    new ConcurrentHashMap<>());
        }
    }

    /** Returns coordinator and standby in this order, fewer if there are not enough VMs. */
    List<VmName> of(ControlSnapshot snapshot, GroupName groupName) {
        DatabaseGroup group = snapshot.currentConfiguration().groups().get(groupName);
        if (group == null) {
            return List.of();
        }
        Cache current = cache.updateAndGet(known -> known.isFor(snapshot) ? known : Cache.emptyFor(snapshot));
        return current.ranks().computeIfAbsent(groupName, _ -> rank(snapshot, group));
    }

    private static List<VmName> rank(ControlSnapshot snapshot, DatabaseGroup group) {
        // Only the coordinator and the standby know the primary, so that the rank must not depend on it.
        return CoordinatorSelection.rank(group, Optional.empty(), snapshot.roster(), snapshot.unavailableVms()).stream()
                .limit(CoordinatorSelection.STANDBY_RANK + 1L)
                .toList();
    }
}
