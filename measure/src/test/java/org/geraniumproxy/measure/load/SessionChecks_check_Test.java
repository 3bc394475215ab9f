package org.geraniumproxy.measure.load;

import static org.geraniumproxy.measure.load.RequestRecords.answered;
import static org.geraniumproxy.measure.load.RequestRecords.unknown;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against overlooking stale reads, and against reporting reads that an unknown outcome explains. */
final class SessionChecks_check_Test {
    private static final Operation READ = new Operation.ReadOwn("k");

    @Test
    void should_report_a_read_before_the_last_acknowledged_write() {
        // given
        List<RequestRecord> records = List.of(
                answered(new Operation.PutNext("k", 1), "k=1"),
                answered(new Operation.PutNext("k", 2), "k=2"),
                answered(READ, "k=1"));
        // when
        List<GuaranteeViolation> violations = SessionChecks.check(records);
        // then
        assertThat(violations.getFirst().guarantee(), is(Guarantee.READ_YOUR_WRITES));
    }

    @Test
    void should_report_a_missing_value_and_a_value_never_written() {
        RequestRecord write = answered(new Operation.PutNext("k", 1), "k=1");
        assertThat(SessionChecks.check(List.of(write, answered(READ))).size(), is(1));
        assertThat(SessionChecks.check(List.of(write, answered(READ, "k=2"))).size(), is(1));
    }

    @Test
    void should_allow_a_write_with_unknown_outcome_to_be_visible_or_not() {
        // given
        RequestRecord first = answered(new Operation.PutNext("k", 1), "k=1");
        RequestRecord second = unknown(new Operation.PutNext("k", 2));
        RequestRecord third = answered(new Operation.PutNext("k", 3), "k=3");
        // then
        assertThat(SessionChecks.check(List.of(first, second, answered(READ, "k=1"))), empty());
        assertThat(SessionChecks.check(List.of(first, second, answered(READ, "k=2"))), empty());
        assertThat(SessionChecks.check(List.of(first, second, third, answered(READ, "k=2"))), empty());
        assertThat(
                SessionChecks.check(List.of(first, second, third, answered(READ, "k=1")))
                        .size(),
                is(1));
    }
}
