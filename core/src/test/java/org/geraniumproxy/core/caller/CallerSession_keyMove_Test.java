package org.geraniumproxy.core.caller;

import static org.geraniumproxy.core.caller.CallerSessionFixture.JUROR;
import static org.geraniumproxy.core.caller.CallerSessionFixture.TROUPE;
import static org.geraniumproxy.core.caller.CallerSessionFixture.completed;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.time.Duration;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.statement.Statement;
import org.junit.jupiter.api.Test;

/** Guards against statements that run for the former customer of a key that has moved to another one (review/8). */
class CallerSession_keyMove_Test {
    private static final Statement BEGIN = new Statement.Begin(false);
    private static final Statement READ = new Statement.Read("FETCH 1");
    private static final Statement WRITE = new Statement.Write("PUT 1 x");
    private static final Statement COMMIT = new Statement.Commit();

    private final CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY);

    @Test
    void should_roll_back_a_transaction_that_has_run_a_statement() {
        begin().runs(WRITE).movesKeyTo(JUROR).sends(WRITE);

        assertThat(fixture.error(), is(ErrorCode.ROLLED_BACK));
        assertThat(fixture.transactionState(), is(TransactionState.FAILED));
        assertRollsBack();
    }

    @Test
    void should_not_commit_for_the_former_customer() {
        begin().runs(WRITE).movesKeyTo(JUROR).sends(new Statement.SetVariable("name", "value"));
        assertThat(fixture.error(), is(nullValue()));

        fixture.sends(COMMIT);
        assertThat(fixture.error(), is(ErrorCode.ROLLED_BACK));
        assertThat(fixture.transactionState(), is(TransactionState.IDLE));
        assertRollsBack();
    }

    @Test
    void should_not_read_at_a_replica_for_the_former_customer() {
        CallerSessionFixture reader = CallerSessionFixture.connectedWith(Consistency.BOUNDED_STALENESS)
                .recordsPrimaryPosition(LogPosition.of(3, 1));
        reader.sends(new Statement.Begin(true)).grantsSlot().receivesReplies(completed(TransactionState.OPEN, 1));
        reader.runs(READ).movesKeyTo(JUROR).sends(READ);

        assertThat(reader.error(), is(ErrorCode.ROLLED_BACK));
        assertThat(reader.sentCommands(), is(empty()));
    }

    @Test
    void should_run_the_next_transaction_for_the_new_customer() {
        begin().runs(WRITE).movesKeyTo(JUROR).sends(COMMIT);

        fixture.sends(BEGIN);
        assertThat(slotCustomer(), is(JUROR));
    }

    @Test
    void should_begin_a_transaction_that_has_run_nothing_again_for_the_new_customer() {
        begin().movesKeyTo(JUROR).on(new SessionEvent.StatementReceived("r2", WRITE));
        assertThat(tokenCustomer(), is(JUROR));
        assertRollsBack();

        fixture.on(new SessionEvent.RateTokenGranted(fixture.tokenRequestId()));
        assertThat(slotCustomer(), is(JUROR));
        fixture.grantsSlot().receivesReplies(completed(TransactionState.OPEN, 1));
        assertThat(fixture.sentCommands(), is(not(empty())));
    }

    @Test
    void should_end_a_transaction_that_has_run_nothing_if_the_new_customer_is_over_its_rate() {
        begin().movesKeyTo(JUROR).on(new SessionEvent.StatementReceived("r2", COMMIT));
        fixture.on(new SessionEvent.RateTokenRefused(fixture.tokenRequestId(), Duration.ofSeconds(1), "test"));

        assertThat(fixture.error(), is(ErrorCode.BUSY));
        assertThat(fixture.transactionState(), is(TransactionState.IDLE));
    }

    @Test
    void should_place_a_statement_again_whose_key_moved_while_it_waited_for_a_slot() {
        fixture.sends(WRITE).movesKeyTo(JUROR).grantsSlot();
        assertThat(fixture.sentCommands(), is(empty()));
        assertThat(fixture.hasEffect(SessionEffect.ReleaseSlot.class), is(true));
        assertThat(fixture.hasEffect(SessionEffect.ReturnConnection.class), is(true));

        fixture.on(new SessionEvent.RateTokenGranted(fixture.tokenRequestId()));
        assertThat(slotCustomer(), is(JUROR));
    }

    @Test
    void should_charge_the_new_customer_if_the_key_moves_while_the_statement_waits_for_a_token() {
        fixture.on(new SessionEvent.StatementReceived("r1", WRITE)).movesKeyTo(JUROR);
        fixture.on(new SessionEvent.RateTokenGranted(fixture.tokenRequestId()));

        assertThat(tokenCustomer(), is(JUROR));
    }

    @Test
    void should_not_refuse_a_statement_for_the_rate_of_the_former_customer() {
        fixture.on(new SessionEvent.StatementReceived("r1", WRITE)).movesKeyTo(JUROR);
        fixture.on(new SessionEvent.RateTokenRefused(fixture.tokenRequestId(), Duration.ofSeconds(1), "removed"));

        assertThat(tokenCustomer(), is(JUROR));
    }

    @Test
    void should_refuse_a_statement_whose_key_is_withdrawn_while_it_waits_for_a_slot() {
        fixture.sends(WRITE).withdrawsKey().grantsSlot();

        assertThat(fixture.sentCommands(), is(empty()));
        assertThat(fixture.error(), is(ErrorCode.UNKNOWN_KEY));
        assertThat(fixture.hasEffect(SessionEffect.ReturnConnection.class), is(true));
    }

    @Test
    void should_not_send_a_statement_whose_key_moved_while_its_connection_was_prepared() {
        begin().runs(WRITE).sends(new Statement.SetVariable("name", "value")).sends(WRITE);
        fixture.grantsSlot().movesKeyTo(JUROR).receivesReplies(completed(TransactionState.OPEN, 1));

        assertThat(fixture.sentCommands(), is(empty()));
        assertThat(fixture.error(), is(ErrorCode.ROLLED_BACK));
        assertThat(fixture.hasEffect(SessionEffect.ReleaseSlot.class), is(true));
        assertRollsBack();
    }

    @Test
    void should_keep_the_outcome_of_a_commit_that_was_sent_before_the_key_moved() {
        begin().runs(WRITE).sends(COMMIT).grantsSlot().movesKeyTo(JUROR);
        fixture.receivesReplies(completed(TransactionState.IDLE, 2));

        assertThat(fixture.error(), is(nullValue()));
    }

    @Test
    void should_continue_a_transaction_whose_key_is_back_at_its_customer() {
        begin().runs(WRITE).movesKeyTo(JUROR).movesKeyTo(TROUPE).sends(COMMIT).grantsSlot();

        assertThat(fixture.sentCommands(), is(not(empty())));
    }

    /** Callers without a known key are a customer of their own where the route allows them. */
    @Test
    void should_roll_back_a_transaction_of_a_known_customer_whose_key_is_withdrawn_on_an_open_route() {
        fixture.allowsAnonymous();
        begin().runs(WRITE).withdrawsKey().sends(COMMIT);

        assertThat(fixture.error(), is(ErrorCode.ROLLED_BACK));
        assertRollsBack();
    }

    @Test
    void should_log_both_customers_and_the_version_without_the_key() {
        begin().runs(WRITE).movesKeyTo(JUROR).sends(WRITE);

        SessionEffect.Log line = fixture.effect(SessionEffect.Log.class).orElseThrow();
        assertThat(line.detail(), is("customer=troupe holder=juror version=5 outcome=rolled_back"));
        assertThat(fixture.effects().toString(), not(containsString(CallerSessionFixture.KEY.hexadecimal())));
    }

    private CallerSessionFixture begin() {
        return fixture.sends(BEGIN).grantsSlot().receivesReplies(completed(TransactionState.OPEN, 1));
    }

    private CustomerName tokenCustomer() {
        return fixture.effect(SessionEffect.RequestRateToken.class)
                .orElseThrow()
                .customer();
    }

    private CustomerName slotCustomer() {
        return fixture.effect(SessionEffect.RequestSlot.class).orElseThrow().customer();
    }

    private void assertRollsBack() {
        assertThat(fixture.sentCommands(), is(empty()));
        assertThat(
                fixture.effect(SessionEffect.ReturnConnection.class)
                        .orElseThrow()
                        .rollbackRequired(),
                is(true));
    }
}
