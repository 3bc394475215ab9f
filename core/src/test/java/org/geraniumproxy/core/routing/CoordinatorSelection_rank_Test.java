package org.geraniumproxy.core.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.junit.jupiter.api.Test;

/** Guards against VMs that select different coordinators for a group. */
class CoordinatorSelection_rank_Test {
    private static final List<String> REGIONS = List.of("lima", "cusco", "arequipa");
    /** Computed independently from the published FNV-1a and SplitMix64 functions. */
    private static final long SCORE = 3211508657937396840L;

    private static final Roster ROSTER =
            new Roster(1, IntStream.range(0, 6).mapToObj(index -> vm(index)).toList());
    private static final DatabaseGroup GROUP = new DatabaseGroup(
            GroupName.of("festival-ledger-1"),
            List.of(server("ledger-1a", "lima"), server("ledger-1b", "cusco")),
            2,
            16,
            4);

    @Test
    void should_prefer_the_region_of_the_primary_and_else_of_the_first_backend_server() {
        // when
        List<VmName> unknownPrimary = rank(Optional.empty(), Set.of());
        List<VmName> knownPrimary = rank(Optional.of(BackendServerName.of("ledger-1b")), Set.of());

        // then
        assertThat(unknownPrimary, hasSize(6));
        assertThat(regionsOf(unknownPrimary).subList(0, 2), is(List.of("lima", "lima")));
        assertThat(regionsOf(knownPrimary).subList(0, 2), is(List.of("cusco", "cusco")));
    }

    @Test
    void should_keep_the_order_of_the_others_when_a_VM_becomes_unavailable() {
        // given
        List<VmName> before = rank(Optional.empty(), Set.of());

        // when
        List<VmName> after = rank(Optional.empty(), Set.of(before.getFirst()));

        // then
        assertThat(after, is(before.subList(1, before.size())));
    }

    @Test
    void should_return_the_same_first_two_ranks_as_the_full_ranking() {
        // given
        List<VmName> ranked = rank(Optional.empty(), Set.of());

        for (int index = 0; index < ranked.size(); index++) {
            // when
            OptionalInt rank = CoordinatorSelection.rankOf(GROUP, ROSTER, Set.of(), ranked.get(index));

            // then
            assertThat(rank, is(index < 2 ? OptionalInt.of(index) : OptionalInt.empty()));
        }
    }

    @Test
    void should_give_the_same_score_in_every_release() {
        // A changed hash would make VMs of different releases select different coordinators.
        assertThat(RendezvousHash.score("festival-ledger-1", "vm-1"), is(SCORE));
    }

    @Test
    void should_distribute_the_first_rank_evenly_over_similar_names() {
        // given
        List<String> candidates =
                IntStream.range(0, 5).mapToObj(index -> "vm-" + index).toList();
        int[] first = new int[candidates.size()];

        // when
        for (int key = 0; key < 5_000; key++) {
            String winner = RendezvousHash.rank("group-" + key, candidates, name -> name)
                    .getFirst();
            first[candidates.indexOf(winner)]++;
        }

        // then: within five standard deviations of the expected 1,000 (binomial distribution)
        List<Integer> outside = new ArrayList<>();
        IntStream.of(first).filter(count -> Math.abs(count - 1_000) > 142).forEach(outside::add);
        assertThat(outside, is(List.of()));
    }

    private static List<VmName> rank(Optional<BackendServerName> primary, Set<VmName> unavailable) {
        return CoordinatorSelection.rank(GROUP, primary, ROSTER, unavailable);
    }

    private static List<String> regionsOf(List<VmName> names) {
        return names.stream()
                .map(name -> ROSTER.find(name).orElseThrow().region().value())
                .toList();
    }

    private static Vm vm(int index) {
        RegionName region = RegionName.of(REGIONS.get(index % 3));
        return new Vm(index, VmName.of("vm-" + index), "127.0.0.1:1", region, FailureDomain.of("domain"), 1, false);
    }

    private static BackendServer server(String name, String region) {
        return new BackendServer(
                BackendServerName.of(name), "127.0.0.1:2", RegionName.of(region), FailureDomain.of("domain"));
    }
}
