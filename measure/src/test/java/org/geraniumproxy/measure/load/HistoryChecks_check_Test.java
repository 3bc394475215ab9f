package org.geraniumproxy.measure.load;

import static org.geraniumproxy.measure.load.RequestRecords.answered;
import static org.geraniumproxy.measure.load.RequestRecords.notRun;
import static org.geraniumproxy.measure.load.RequestRecords.unknown;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.geraniumproxy.protocol.ReceivedStatement;
import org.junit.jupiter.api.Test;

/** Guards against checks that overlook a violated guarantee in the histories of the databases. */
final class HistoryChecks_check_Test {
    private static final Operation PAYMENT = new Operation.AddOnce("p");
    private static final Operation PAIR = new Operation.AddInTransaction(List.of("a", "b"));

    @Test
    void should_report_acknowledged_writes_missing_from_every_primary() {
        assertThat(guarantees(answered(PAYMENT, "1")), contains(Guarantee.ACKNOWLEDGED_WRITE_KEPT));
        assertThat(guarantees(unknown(PAYMENT)), empty());
        assertThat(guarantees(answered(PAYMENT, "1"), "ADD p 1"), empty());
    }

    @Test
    void should_report_a_second_run_and_a_run_reported_as_not_run() {
        assertThat(guarantees(unknown(PAYMENT), "ADD p 1", "ADD p 1"), contains(Guarantee.AT_MOST_ONCE));
        assertThat(guarantees(notRun(PAYMENT), "ADD p 1"), contains(Guarantee.NOT_RUN_IS_TRUE));
    }

    @Test
    void should_report_a_partially_applied_transaction() {
        assertThat(guarantees(unknown(PAIR), "ADD a 1"), contains(Guarantee.TRANSACTIONS_APART));
        assertThat(guarantees(unknown(PAIR), "ADD a 1", "ADD b 1"), empty());
    }

    @Test
    void should_report_interleaved_transactions_and_received_keys() {
        // given
        DatabaseHistory history = new DatabaseHistory(
                "g",
                "ledger-1a",
                true,
                List.of(),
                List.of(received("BEGIN", "x"), received("GET secret", "y"), received("COMMIT", "x")),
                1,
                1);
        // when
        List<GuaranteeViolation> violations = HistoryChecks.check(List.of(), List.of(history), Set.of("secret"));
        // then
        assertThat(
                violations.stream().map(GuaranteeViolation::guarantee).toList(),
                contains(Guarantee.TRANSACTIONS_APART, Guarantee.NO_KEY_AT_BACKEND));
    }

    private static ReceivedStatement received(String statement, String customer) {
        return ReceivedStatement.newBuilder()
                .setConnection("1")
                .setStatement(statement)
                .setCustomer(customer)
                .build();
    }

    private static List<Guarantee> guarantees(RequestRecord request, String... applied) {
        DatabaseHistory history = new DatabaseHistory("g", "ledger-1a", true, Arrays.asList(applied), List.of(), 1, 1);
        return HistoryChecks.check(List.of(request), List.of(history), Set.of()).stream()
                .map(GuaranteeViolation::guarantee)
                .toList();
    }
}
