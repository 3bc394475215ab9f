package org.geraniumproxy.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.geraniumproxy.core.identity.BackendServerName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against reads of many VMs that overrun one database while another one idles. */
class ReplicaChoice_choose_Test {
    /** Required bound on the statements in progress at the busiest database in relation to the mean of its group. */
    private static final double BOUND = 1.2;

    /** A replica of the least used group completes about 240 reads in this time; chance stays well below the bound. */
    private static final double WINDOW_SECONDS = 10;

    private static final FleetModel.Load SMALL_FLEET = new FleetModel.Load(5, 5, 1.4, 66, 8, 115, 40, 310, 24);

    static Stream<Arguments> fleets() {
        return Stream.of(
                Arguments.of(FleetModel.H, FleetModel.Choice.REGION_REPORTS),
                Arguments.of(FleetModel.P, FleetModel.Choice.REGION_REPORTS),
                Arguments.of(SMALL_FLEET, FleetModel.Choice.OWN_FIGURES));
    }

    @ParameterizedTest
    @MethodSource("fleets")
    void should_load_databases_evenly_where_the_cheapest_one_is_overloaded(
            FleetModel.Load load, FleetModel.Choice choice) {
        for (long seed = 1; seed <= 3; seed++) {
            assertThat(busiestToMean(load, FleetModel.Choice.CHEAPEST, seed), greaterThan(BOUND));
            assertThat(busiestToMean(load, choice, seed), lessThanOrEqualTo(BOUND));
        }
    }

    private static double busiestToMean(FleetModel.Load load, FleetModel.Choice choice, long seed) {
        FleetModel model = new FleetModel(load, choice, seed);
        model.run(WINDOW_SECONDS);
        double busiest = 0;
        for (int window = 0; window < 3; window++) {
            model.run(WINDOW_SECONDS);
            busiest = Math.max(busiest, model.busiestToMean());
        }
        return busiest;
    }

    @Test
    void should_give_a_slow_database_little_and_ramp_it_up_when_it_is_fast_again() {
        FleetModel model = new FleetModel(FleetModel.P, FleetModel.Choice.REGION_REPORTS, 1);
        model.run(WINDOW_SECONDS);
        model.databases.getFirst().get(1).slowness = 8;
        model.run(WINDOW_SECONDS);
        model.run(WINDOW_SECONDS);
        // With an eighth of the speed, it has a ninth of the capacity of both replicas.
        assertThat(model.share(0, 1), lessThan(1 / 9.0));
        model.databases.getFirst().get(1).slowness = 1;
        List<Double> shares = new ArrayList<>();
        for (int second = 0; second < 60; second += 2) {
            model.run(2);
            shares.add(model.share(0, 1));
        }
        assertThat(shares.getLast(), greaterThan(0.4));
        long rampUp =
                shares.stream().filter(share -> share > 0.05 && share < 0.4).count();
        assertThat("windows of 2 s between few reads and the full share", rampUp, greaterThan(2L));
    }

    @Test
    void should_spread_the_choices_of_vms_with_equal_figures() {
        List<ReplicaChoice.Candidate> candidates = List.of(candidate("a", 0.5), candidate("b", 0.4));
        Set<Optional<BackendServerName>> chosen = new HashSet<>();
        for (long vm = 0; vm < 8; vm++) {
            chosen.add(ReplicaChoice.choose(candidates, new SplittableRandom(vm).nextDouble()));
        }
        assertThat(chosen.size(), is(2));
    }

    @Test
    void should_spare_the_primary_until_the_replicas_are_unusable_or_far_more_loaded() {
        for (double random : new double[] {0, 0.5, 0.999}) {
            assertThat(chosen(primary(), candidate("a", 4), random), is("a"));
            assertThat(chosen(primary(), avoided(), random), is("primary"));
        }
        assertThat(chosen(primary(), candidate("a", 30), 0), is("primary"));
        assertThat(ReplicaChoice.choose(List.of(avoided()), 0.5), is(Optional.of(BackendServerName.of("lagging"))));
    }

    private static String chosen(ReplicaChoice.Candidate one, ReplicaChoice.Candidate other, double random) {
        return ReplicaChoice.choose(List.of(one, other), random).orElseThrow().value();
    }

    private static ReplicaChoice.Candidate candidate(String name, double load) {
        return new ReplicaChoice.Candidate(
                BackendServerName.of(name), false, 5, load, Duration.ofMillis(30), false, 1, false);
    }

    private static ReplicaChoice.Candidate primary() {
        return new ReplicaChoice.Candidate(
                BackendServerName.of("primary"), true, 5, 0.5, Duration.ofMillis(30), false, 1, false);
    }

    private static ReplicaChoice.Candidate avoided() {
        return new ReplicaChoice.Candidate(
                BackendServerName.of("lagging"), false, 5, 0, Duration.ofMillis(30), false, 1, true);
    }
}
