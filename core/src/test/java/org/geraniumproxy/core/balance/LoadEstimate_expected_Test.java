package org.geraniumproxy.core.balance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.VmName;
import org.junit.jupiter.api.Test;

/** Guards against load that is counted twice, or believed although it is old or that of very few VMs. */
class LoadEstimate_expected_Test {
    private static final BackendServerName DATABASE = BackendServerName.of("db-1");
    private static final VmName REQUESTER = VmName.of("vm-1");
    private static final Instant NOW = Instant.EPOCH.plusSeconds(60);

    @Test
    void should_subtract_the_requester_and_extend_the_sum_to_the_fleet() {
        LoadReports reports = LoadReports.NONE
                .with(REQUESTER, Map.of(DATABASE, report(50)), NOW)
                .with(VmName.of("vm-2"), Map.of(DATABASE, report(2)), NOW.minusMillis(400))
                .with(VmName.of("vm-3"), Map.of(DATABASE, report(4)), NOW.minusMillis(200))
                .with(VmName.of("vm-4"), Map.of(DATABASE, report(90)), NOW.minus(LoadReports.RETENTION));
        LoadReports.Sums sums = reports.sumWithout(Set.of(DATABASE), REQUESTER, NOW);
        assertThat(sums.vms(), is(2));
        LoadReport sum = sums.loads().get(DATABASE);
        assertThat(sum.age(), is(Duration.ofMillis(300)));
        assertThat(ReportedLoad.of(sum, 2, 7, NOW), is(Optional.of(reported(18, 300))));
        assertThat("one VM of 36", ReportedLoad.of(sum, 1, 36, NOW), is(Optional.empty()));
    }

    @Test
    void should_approach_the_mean_with_the_age_of_the_report() {
        assertThat(new LoadEstimate(1, Optional.of(reported(10, 0))).expected(4, NOW), is(11.0));
        assertThat(new LoadEstimate(1, Optional.of(reported(10, 500))).expected(4, NOW), closeTo(8, 1e-9));
        assertThat(new LoadEstimate(1, Optional.of(reported(10, 3000))).expected(4, NOW), is(5.0));
    }

    private static ReportedLoad reported(double outstanding, long ageMilliseconds) {
        return new ReportedLoad(outstanding, ResponseSummary.NONE, NOW.minusMillis(ageMilliseconds));
    }

    private static LoadReport report(int outstanding) {
        return new LoadReport(outstanding, ResponseSummary.NONE, Duration.ZERO);
    }
}
