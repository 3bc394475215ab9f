package org.geraniumproxy.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.geraniumproxy.core.caller.PositionSource;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against probes of all VMs that use up the connections of a database, and against groups nobody watches. */
class GroupWatchers_watchersOf_Test {
    private static final Set<GroupName> GROUPS = IntStream.range(0, 40)
            .mapToObj(number -> GroupName.of("g" + number))
            .collect(Collectors.toSet());

    @Test
    void should_let_two_vms_of_each_region_watch_a_group_of_a_large_fleet() {
        GroupName group = GroupName.of("g1");
        Set<VmName> watchers = watchers("vm-1", 38).watchersOf(group);
        assertThat(watchers, hasSize(3 * GroupWatchers.WATCHERS_PER_REGION));
        assertThat(
                watchers.stream().map(GroupWatchers_watchersOf_Test::region).collect(Collectors.toSet()), hasSize(3));
        assertThat(watchers("vm-20", 38).watchersOf(group), is(watchers));
    }

    @Test
    void should_let_all_vms_of_a_small_fleet_watch_all_groups() {
        GroupWatchers watchers = watchers("vm-1", 5);
        assertThat(watchers.watchedBySelf(GROUPS), is(GROUPS));
        assertThat(watchers.sources(GROUPS), is(List.of()));
        assertThat(watchers.watchersOf(GroupName.of("g1")), hasSize(5));
    }

    /** Guards against reads that go to the primary because no VM tells its position. */
    @Test
    void should_name_a_source_in_the_region_for_each_group_that_the_vm_does_not_watch() {
        for (int vm = 1; vm <= 38; vm++) {
            GroupWatchers watchers = watchers("vm-" + vm, 38);
            Set<GroupName> covered = new HashSet<>(watchers.watchedBySelf(GROUPS));
            for (PositionSource source : watchers.sources(GROUPS)) {
                covered.addAll(source.groups());
                for (VmName watcher : source.vms()) {
                    assertThat(region(watcher), is(region(VmName.of("vm-" + vm))));
                    assertThat(
                            watchers(watcher.value(), 38).watchedBySelf(GROUPS).containsAll(source.groups()), is(true));
                }
            }
            assertThat(covered, is(GROUPS));
        }
    }

    @Test
    void should_divide_the_groups_among_the_vms() {
        for (int vm = 1; vm <= 300; vm++) {
            assertThat(watchers("vm-" + vm, 300).watchedBySelf(GROUPS).size(), is(lessThanOrEqualTo(GROUPS.size())));
        }
        long watching = IntStream.rangeClosed(1, 300)
                .filter(vm -> !watchers("vm-" + vm, 300).watchedBySelf(GROUPS).isEmpty())
                .count();
        assertThat(watching, is(lessThanOrEqualTo(3L * 3 * GroupWatchers.WATCHERS_PER_REGION)));
    }

    private static GroupWatchers watchers(String self, int vms) {
        Map<VmName, RegionName> regions = new HashMap<>();
        Set<VmName> members = new HashSet<>();
        for (int vm = 1; vm <= vms; vm++) {
            VmName name = VmName.of("vm-" + vm);
            members.add(name);
            regions.put(name, region(name));
        }
        return new GroupWatchers(VmName.of(self), members, regions, Math.ceilDiv(GROUPS.size(), 16));
    }

    private static RegionName region(VmName vm) {
        return RegionName.of("region-" + Integer.parseInt(vm.value().substring(3)) % 3);
    }
}
