package org.geraniumproxy.core.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost acknowledged writes, two primaries acknowledging writes in one term, and failovers that take too
 * long, under random combinations of faults. The failure message contains the seed of the run.
 */
class SimulatedGroup_run_Test {
    private static final int SEEDS = 500;
    private static final long FAILOVER_LIMIT_MILLIS = 12_000;

    @Test
    void should_keep_all_acknowledged_writes_and_recover_within_12_s() {
        long acknowledged = 0;
        long promotions = 0;
        long worst = 0;
        for (int seed = 1; seed <= SEEDS; seed++) {
            // given
            SimulatedGroup group = SimulatedGroup.withFaults(seed);

            // when
            SimulatedGroup.Result result = group.run();

            // then
            String run = "seed " + seed;
            assertThat(run, group.lostWrites(), is(List.of()));
            assertThat(run, result.recoveryMillis(), is(lessThanOrEqualTo(FAILOVER_LIMIT_MILLIS)));
            acknowledged += result.acknowledgedWrites();
            promotions += result.promotions();
            worst = Math.max(worst, result.recoveryMillis());
        }
        System.out.println("simulated failovers: " + SEEDS + " seeds, " + acknowledged + " acknowledged writes, "
                + promotions + " promotions, longest recovery " + worst + " ms");
        assertThat(promotions, is(greaterThan((long) SEEDS)));
    }

    @Test
    void should_give_the_same_run_for_the_same_seed() {
        // when
        SimulatedGroup first = SimulatedGroup.withFaults(7);
        SimulatedGroup second = SimulatedGroup.withFaults(7);

        // then
        assertThat(first.run(), is(second.run()));
        assertThat(first.reports(), is(second.reports()));
    }
}
