package org.geraniumproxy.core.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.caller.PositionSource;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.routing.RendezvousHash;

/**
 * Chooses the VMs that probe the primaries of a group. In a small fleet these are all VMs. In a larger one, two VMs of
 * each region watch a block of groups, because each probe takes a connection of the database, and the connections don't
 * suffice for all VMs. The others ask a watcher of their region for the positions of the primaries.
 *
 * @param self name of this VM
 * @param members all VMs, this one included
 * @param regions regions of the VMs that are known
 * @param blocks number of blocks into which the groups are divided
 */
record GroupWatchers(VmName self, Set<VmName> members, Map<VmName, RegionName> regions, int blocks) {
    /** Watchers of a group in each region: one may fail at any time. */
    static final int WATCHERS_PER_REGION = 2;

    /** Groups that one VM watches. A probe every 250 ms for each of them costs little. */
    private static final int GROUPS_PER_BLOCK = 16;

    /** Region of the VMs whose registration names none. */
    private static final RegionName UNKNOWN_REGION = RegionName.of("unknown");

    static GroupWatchers of(VmName self, TrackedPeers peers, int groupCount) {
        Set<VmName> members = new HashSet<>(peers.addresses().keySet());
        members.add(self);
        return new GroupWatchers(
                self, members, peers.regions(), Math.max(1, Math.ceilDiv(groupCount, GROUPS_PER_BLOCK)));
    }

    /** Returns the VMs of all regions that watch a group. */
    Set<VmName> watchersOf(GroupName group) {
        if (isSmallFleet()) {
            return members;
        }
        Set<VmName> watchers = new HashSet<>();
        Set<RegionName> all = new HashSet<>();
        members.forEach(vm -> all.add(regionOf(vm)));
        all.forEach(region -> watchers.addAll(watchersIn(region, blockOf(group))));
        return watchers;
    }

    /** Returns the groups that this VM watches. */
    Set<GroupName> watchedBySelf(Set<GroupName> groups) {
        if (isSmallFleet()) {
            return Set.copyOf(groups);
        }
        Set<GroupName> watched = new HashSet<>();
        watchersByBlock(groups).forEach((block, watchers) -> {
            if (watchers.contains(self)) {
                watched.addAll(block.groups());
            }
        });
        return watched;
    }

    /** Returns the VMs of this region that tell the positions of the groups that this VM doesn't watch. */
    List<PositionSource> sources(Set<GroupName> groups) {
        if (isSmallFleet()) {
            return List.of();
        }
        List<PositionSource> sources = new ArrayList<>();
        watchersByBlock(groups).forEach((block, watchers) -> {
            if (!watchers.contains(self)) {
                sources.add(new PositionSource(watchers, block.groups()));
            }
        });
        return sources;
    }

    private record Block(int number, Set<GroupName> groups) {}

    /** Ranks the VMs of this region once for each block, not for each group. */
    private Map<Block, List<VmName>> watchersByBlock(Set<GroupName> groups) {
        Map<Integer, Set<GroupName>> grouped = new HashMap<>();
        groups.forEach(group ->
                grouped.computeIfAbsent(blockOf(group), _ -> new HashSet<>()).add(group));
        List<VmName> candidates = candidatesIn(regionOf(self));
        Map<Block, List<VmName>> watchers = new HashMap<>();
        grouped.forEach((number, members) -> watchers.put(new Block(number, members), rank(number, candidates)));
        return watchers;
    }

    private boolean isSmallFleet() {
        return members.size() <= TrackedPeers.SMALL_FLEET_VMS;
    }

    private List<VmName> watchersIn(RegionName region, int block) {
        return rank(block, candidatesIn(region));
    }

    private List<VmName> candidatesIn(RegionName region) {
        return members.stream().filter(vm -> regionOf(vm).equals(region)).toList();
    }

    private static List<VmName> rank(int block, List<VmName> candidates) {
        return RendezvousHash.first("watch/" + block, candidates, VmName::value, WATCHERS_PER_REGION);
    }

    private int blockOf(GroupName group) {
        return (int) Math.floorMod(RendezvousHash.score("block", group.value()), (long) blocks);
    }

    private RegionName regionOf(VmName vm) {
        return regions.getOrDefault(vm, UNKNOWN_REGION);
    }
}
