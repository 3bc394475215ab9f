package org.geraniumproxy.measure.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against reads of many VMs that overrun one database while another one idles. */
class FleetModel_run_Test {
    /** Required bound on the statements in progress at the busiest database in relation to the mean of its group. */
    private static final double BOUND = 1.2;

    /** A replica of the least used group completes about 240 reads in this time; chance stays well below the bound. */
    private static final double WINDOW_SECONDS = 10;

    static Stream<Arguments> fleets() {
        return Stream.of(
                Arguments.of(FleetModel.H, FleetModel.Choice.REGION_REPORTS),
                Arguments.of(FleetModel.P, FleetModel.Choice.REGION_REPORTS),
                Arguments.of(FleetModel.SMALL_FLEET, FleetModel.Choice.OWN_FIGURES));
    }

    @ParameterizedTest
    @MethodSource("fleets")
    void should_load_databases_evenly_where_the_cheapest_one_is_overloaded(
            FleetModel.Load load, FleetModel.Choice choice) {
        for (long seed = 1; seed <= 3; seed++) {
            assertThat(
                    BalanceRun.busiestToMean(load, FleetModel.Choice.CHEAPEST, seed, WINDOW_SECONDS),
                    greaterThan(BOUND));
            assertThat(BalanceRun.busiestToMean(load, choice, seed, WINDOW_SECONDS), lessThanOrEqualTo(BOUND));
        }
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
}
