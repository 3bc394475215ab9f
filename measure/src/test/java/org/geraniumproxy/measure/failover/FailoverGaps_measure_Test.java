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
    private static final ObservedFailover EVENT = new ObservedFailover(
            "ledger-1",
            FaultKind.DOWN,
            "a",
            "b",
            Instant.ofEpochMilli(1000),
            new FailoverPhases(at(1300), at(1350), at(1450), at(1460)));

    /**
     * Guards against a gap that begins at the fault, or that ends with a write that the new primary served before it.
     */
    @Test
    void should_measure_from_the_last_acknowledgement_of_the_old_primary_to_the_first_of_the_new_one() {
        // given
        List<RequestRecord> records =
                List.of(write("b", 500), write("a", 990), write("a", 1010), write("b", 1700), write("a", 9000));
        // then
        assertThat(FailoverGaps.of(List.of(EVENT), records).gaps(), contains(gap(690, 290, 50, 100, 10, 240)));
    }

    /** Guards against phases that do not add up to the gap if one of them was observed late or not at all. */
    @Test
    void should_assign_no_duration_to_unobserved_phases() {
        // given
        FailoverPhases phases = new FailoverPhases(Optional.empty(), at(1400), at(1450), at(2000));
        ObservedFailover event =
                new ObservedFailover("ledger-1", FaultKind.DOWN, "a", "b", Instant.ofEpochMilli(1000), phases);
        // when
        FailoverGaps gaps = FailoverGaps.of(List.of(event), List.of(write("a", 1000), write("b", 1700)));
        // then
        assertThat(gaps.gaps(), contains(gap(700, 400, 0, 50, 250, 0)));
    }

    /** Guards against ignoring a failover after which the group stays unavailable. */
    @Test
    void should_count_a_failover_without_later_acknowledgement() {
        FailoverGaps gaps = FailoverGaps.of(List.of(EVENT), List.of(write("a", 990)));
        assertThat(gaps.gaps(), empty());
        assertThat(gaps.failoversWithoutWrite(), is(1));
    }

    /** Guards against percentiles that omit the worst gap. */
    @Test
    void should_compute_percentiles_by_the_nearest_rank_method() {
        FailoverGaps gaps = new FailoverGaps(
                LongStream.rangeClosed(1, 20)
                        .mapToObj(millis -> gap(millis, millis, 0, 0, 0, 0))
                        .toList(),
                0);
        assertThat(gaps.percentile(50), is(Optional.of(Duration.ofMillis(10))));
        assertThat(gaps.percentile(99), is(Optional.of(Duration.ofMillis(20))));
    }

    private static Optional<Instant> at(long millis) {
        return Optional.of(Instant.ofEpochMilli(millis));
    }

    private static FailoverGaps.Gap gap(
            long total, long detection, long agreement, long fencing, long catchingUp, long learning) {
        return new FailoverGaps.Gap(
                Duration.ofMillis(total),
                Duration.ofMillis(detection),
                Duration.ofMillis(agreement),
                Duration.ofMillis(fencing),
                Duration.ofMillis(catchingUp),
                Duration.ofMillis(learning));
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
