package org.geraniumproxy.measure.failover;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.LongStream;
import org.geraniumproxy.measure.load.CallResult;
import org.geraniumproxy.measure.load.Operation;
import org.geraniumproxy.measure.load.RequestRecord;
import org.junit.jupiter.api.Test;

final class FailoverGaps_measure_Test {
    private static final FailoverEvent EVENT = new FailoverEvent(
            "ledger-1", FaultKind.DOWN, "a", "b", Instant.ofEpochMilli(1000), Instant.ofEpochMilli(5000));

    /** Guards against a gap that begins at the fault, or ends with a write that the new primary served earlier. */
    @Test
    void should_measure_from_the_last_old_to_the_first_new_acknowledgement() {
        // given
        List<RequestRecord> records =
                List.of(write("b", 500), write("a", 990), write("a", 1010), write("b", 1700), write("a", 9000));
        // then
        assertThat(FailoverGaps.of(List.of(EVENT), records).gaps(), contains(Duration.ofMillis(690)));
    }

    /** Guards against a failover without service that vanishes from the figures. */
    @Test
    void should_count_a_failover_after_which_nothing_was_acknowledged() {
        FailoverGaps gaps = FailoverGaps.of(List.of(EVENT), List.of(write("a", 990)));
        assertThat(gaps.gaps(), empty());
        assertThat(gaps.unfinished(), is(1));
    }

    /** Guards against percentiles that leave out the worst gap. */
    @Test
    void should_take_percentiles_by_the_nearest_rank() {
        FailoverGaps gaps = new FailoverGaps(
                LongStream.rangeClosed(1, 20).mapToObj(Duration::ofMillis).toList(), 0);
        assertThat(gaps.percentile(50), is(Optional.of(Duration.ofMillis(10))));
        assertThat(gaps.percentile(99), is(Optional.of(Duration.ofMillis(20))));
    }

    private static RequestRecord write(String servedBy, long endMillis) {
        return new RequestRecord(
                "s",
                "troupes",
                "only-ledger-1",
                new Operation.AddOnce("k"),
                Instant.ofEpochMilli(endMillis - 5),
                Instant.ofEpochMilli(endMillis),
                1,
                false,
                new CallResult.Answered(List.of("1"), servedBy, false),
                List.of());
    }
}
