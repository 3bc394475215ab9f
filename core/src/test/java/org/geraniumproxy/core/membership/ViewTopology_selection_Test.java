package org.geraniumproxy.core.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against overloading the store or a single VM with view requests in a large fleet. */
class ViewTopology_selection_Test {
    private static final int DESIGN_SIZE_VMS = 6400;

    @Test
    void should_choose_one_voter_of_each_failure_domain_first() {
        // given
        Roster roster = ViewFixtures.roster(DESIGN_SIZE_VMS);
        // when
        List<VmName> voters = ViewTopology.of(roster).voters();
        // then
        Set<Object> domains = voters.stream()
                .map(voter -> roster.find(voter).orElseThrow().failureDomain())
                .collect(Collectors.toSet());
        assertThat(voters, hasSize(ViewTopology.MAXIMUM_VOTERS));
        assertThat(domains, hasSize(ViewTopology.MAXIMUM_VOTERS));
    }

    @Test
    void should_let_at_most_thirteen_VMs_watch_the_store_at_the_design_size() {
        // given
        ViewTopology topology = ViewTopology.of(ViewFixtures.roster(DESIGN_SIZE_VMS));
        // when
        Set<VmName> watchers = topology.watchers(Set.of());
        // then
        assertThat(watchers.size(), is(lessThanOrEqualTo(13)));
    }

    @Test
    void should_connect_every_VM_to_a_watcher_within_three_levels() {
        // given
        Roster roster = ViewFixtures.roster(DESIGN_SIZE_VMS);
        ViewTopology topology = ViewTopology.of(roster);
        Set<VmName> reached = new HashSet<>(topology.watchers(Set.of()));
        Map<VmName, List<VmName>> upstreams = new HashMap<>();
        roster.vms()
                .forEach(vm -> upstreams.put(
                        vm.name(),
                        topology.peersOf(vm.name(), Set.of()).stream()
                                .map(Vm::name)
                                .toList()));
        // when
        for (int level = 0; level < 3; level++) {
            Set<VmName> above = Set.copyOf(reached);
            upstreams.forEach((vm, asked) -> {
                if (asked.stream().anyMatch(above::contains)) {
                    reached.add(vm);
                }
            });
        }
        // then
        assertThat(reached.size(), equalTo(DESIGN_SIZE_VMS));
    }

    @Test
    void should_ask_a_live_upstream_when_one_is_down() {
        // given
        Roster roster = ViewFixtures.roster(200);
        ViewTopology topology = ViewTopology.of(roster);
        VmName leaf = roster.vms().stream()
                .map(Vm::name)
                .filter(vm -> !topology.watchers(Set.of()).contains(vm))
                .findFirst()
                .orElseThrow();
        VmName down = topology.peersOf(leaf, Set.of()).getFirst().name();
        // when
        List<Vm> peers = topology.peersOf(leaf, Set.of(down));
        // then
        assertThat(peers, hasSize(ViewTopology.UPSTREAMS));
        assertThat(peers.stream().anyMatch(vm -> vm.name().equals(down)), is(false));
    }
}
