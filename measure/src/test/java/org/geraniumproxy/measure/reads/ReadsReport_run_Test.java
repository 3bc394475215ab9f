package org.geraniumproxy.measure.reads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import org.geraniumproxy.measure.figures.PartReport;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;
import org.junit.jupiter.api.Test;

/** Guards against stale answers and against reads that use the primary although a replica is recent enough. */
class ReadsReport_run_Test {
    @Test
    void should_meet_the_target_without_stale_answers_and_be_reproducible() {
        // when
        PartReport report = ReadsReport.run(SimulatedDeployment.FESTIVAL, 1);

        // then
        assertThat(report.findings(), is(empty()));
        assertThat(ReadsReport.run(SimulatedDeployment.FESTIVAL, 1), equalTo(report));
    }
}
