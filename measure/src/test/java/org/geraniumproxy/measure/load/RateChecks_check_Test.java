package org.geraniumproxy.measure.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against overlooking an overrun in a short window, and against reporting requests that may have been admitted
 * earlier.
 */
final class RateChecks_check_Test {
    private static final Map<String, Allowance> ALLOWANCES = Map.of("troupes", new Allowance(10, 5));

    @Test
    void should_report_an_overrun_in_a_short_window() {
        // given
        List<RequestRecord> burst = LongStream.range(0, 7)
                .mapToObj(i -> RequestRecords.at(60_000 + i, 60_001 + i))
                .toList();
        // then
        assertThat(RateChecks.check(burst, ALLOWANCES), hasSize(1));
        assertThat(RateChecks.check(burst.subList(0, 5), ALLOWANCES), empty());
    }

    @Test
    void should_not_report_requests_whose_admission_may_have_been_earlier() {
        // given
        List<RequestRecord> slow = LongStream.range(0, 20)
                .mapToObj(i -> RequestRecords.at(i * 100, 5000))
                .toList();
        // then
        assertThat(RateChecks.check(slow, ALLOWANCES), empty());
    }
}
