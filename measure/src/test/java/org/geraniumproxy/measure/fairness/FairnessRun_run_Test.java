package org.geraniumproxy.measure.fairness;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import org.geraniumproxy.core.pool.QueuePolicy;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a noisy neighbour that takes slots from other customers by exceeding its rate. */
class FairnessRun_run_Test {
    /** Target for the served share of the entitlement. */
    private static final double TARGET_SHARE = 0.95;

    @ParameterizedTest
    @EnumSource(SimulatedDeployment.class)
    void should_serve_every_other_customer_its_entitlement(SimulatedDeployment deployment) {
        for (long seed = 1; seed <= 2; seed++) {
            // when
            FairnessResult result = FairnessRun.run(deployment, seed, new QueuePolicy.WeightedFair());

            // then: the neighbour uses the remaining capacity, so the slots stay busy
            assertThat(result.worstServedShare(), greaterThanOrEqualTo(TARGET_SHARE));
            assertThat(result.slotUtilization(), greaterThan(0.95));
        }
    }

    @ParameterizedTest
    @EnumSource(SimulatedDeployment.class)
    void should_miss_the_entitlement_with_first_come_first_served(SimulatedDeployment deployment) {
        // when / then: the check detects an unfair policy
        FairnessResult result = FairnessRun.run(deployment, 1, new QueuePolicy.FirstComeFirstServed());
        assertThat(result.worstServedShare(), lessThan(TARGET_SHARE));
    }
}
