package org.geraniumproxy.measure.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.geraniumproxy.core.limit.LimitTiming;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against admissions over rate plus burst, and against refusals within the rate. */
class LimitRun_run_Test {
    @ParameterizedTest
    @EnumSource(SimulatedDeployment.class)
    void should_never_exceed_rate_and_burst_with_faults(SimulatedDeployment deployment) {
        // given 10 seeds with lost, delayed and duplicated messages, pauses, isolations, restarts and roster changes
        LongFunction<LimitScenario> scenario = seed -> LimitScenario.withFaults(deployment, seed, LimitTiming.STANDARD);

        // when / then
        assertThat(maximumOverrun(scenario, 10), is(0.0));
    }

    @Test
    void should_exceed_the_limit_if_the_lender_forgets_loans_before_the_borrower() {
        // given
        LimitTiming weakened = LimitTiming.STANDARD.withLenderValidity(Duration.ofMillis(10));

        // when / then: without the rule, the check detects an overrun
        assertThat(
                maximumOverrun(seed -> LimitScenario.withFaults(SimulatedDeployment.FESTIVAL, seed, weakened), 10),
                greaterThan(0.0));
    }

    @Test
    void should_exceed_the_limit_if_an_increased_share_is_used_immediately() {
        // given
        LimitTiming weakened = LimitTiming.STANDARD.withIncreaseDelay(Duration.ZERO);

        // when / then: without the rule, the check detects an overrun
        assertThat(
                maximumOverrun(seed -> LimitScenario.withFaults(SimulatedDeployment.FESTIVAL, seed, weakened), 10),
                greaterThan(0.0));
    }

    @ParameterizedTest
    @EnumSource(SimulatedDeployment.class)
    void should_wrongly_refuse_less_than_one_in_a_thousand_with_uneven_load_balancing(SimulatedDeployment deployment) {
        // given
        LimitScenario scenario = LimitScenario.withUnevenLoad(deployment, 1, 200, 50, true);

        // when
        LimitResult result = LimitRun.run(scenario);

        // then
        assertThat(result.wronglyRefusedShare(), lessThan(0.001));
        assertThat(result.maximumOverrun(), is(0.0));
    }

    @Test
    void should_give_equal_metrics_for_equal_seeds() {
        // given
        LimitScenario scenario = LimitScenario.withFaults(SimulatedDeployment.WEED, 5, LimitTiming.STANDARD);

        // when / then
        assertThat(LimitRun.run(scenario), equalTo(LimitRun.run(scenario)));
    }

    private static double maximumOverrun(LongFunction<LimitScenario> scenario, int seeds) {
        return LongStream.rangeClosed(1, seeds)
                .mapToObj(scenario)
                .mapToDouble(each -> LimitRun.run(each).maximumOverrun())
                .max()
                .orElseThrow();
    }
}
