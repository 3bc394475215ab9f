package org.geraniumproxy.core.caller;

import java.util.List;
import java.util.Set;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.VmName;

/**
 * VMs that watch the primaries of some groups and tell their positions to the other VMs of the region.
 *
 * @param vms watching VMs; the first one is asked, the next one if it doesn't answer
 * @param groups groups that they watch
 */
public record PositionSource(List<VmName> vms, Set<GroupName> groups) {
    /** Copies the collections. */
    public PositionSource {
        vms = List.copyOf(vms);
        groups = Set.copyOf(groups);
    }
}
