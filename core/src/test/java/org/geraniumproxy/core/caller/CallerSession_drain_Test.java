package org.geraniumproxy.core.caller;

import static org.geraniumproxy.core.caller.CallerSessionFixture.completed;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.statement.Statement;
import org.junit.jupiter.api.Test;

/** Guards against a planned stop that leaves a statement without an answer, or that closes a session too late. */
class CallerSession_drain_Test {
    private static final Statement WRITE = new Statement.Write("PUT 1 x");
    private static final Statement READ = new Statement.Read("FETCH 1");
    private static final Statement COMMIT = new Statement.Commit();
    private static final SessionEvent TIME_PASSED = new SessionEvent.TimePassed();
    private static final Duration UNTIL_TRANSACTIONS_END = Duration.ofSeconds(1);
    private static final Duration UNTIL_ANSWERS_ARE_DUE = Duration.ofSeconds(3);

    @Test
    void should_keep_a_session_whose_first_statement_may_be_on_its_way() {
        CallerSessionFixture fixture = connected().startsDraining();
        assertThat(isClosed(fixture.on(TIME_PASSED)), is(false));
        fixture.advance(SessionDrain.FIRST_STATEMENT_WAIT.minusMillis(1));
        assertThat(isClosed(fixture.on(TIME_PASSED)), is(false));
        fixture.advance(Duration.ofMillis(1));
        assertThat(isClosed(fixture.on(TIME_PASSED)), is(true));
    }

    @Test
    void should_close_a_session_with_the_answer_of_its_statement() {
        CallerSessionFixture fixture =
                connected().sends(WRITE).grantsSlot().startsDraining().on(TIME_PASSED);
        assertThat(isClosed(fixture), is(false));
        fixture.receivesReplies(completed(TransactionState.IDLE, 1));
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(true));
        assertThat(isClosed(fixture), is(true));
    }

    @Test
    void should_serve_the_first_statement_of_a_caller_that_connected_before() {
        CallerSessionFixture fixture = connected().startsDraining().sends(WRITE).grantsSlot();
        fixture.advance(SessionDrain.FIRST_STATEMENT_WAIT).on(TIME_PASSED);
        assertThat(isClosed(fixture), is(false));
        fixture.receivesReplies(completed(TransactionState.IDLE, 1));
        assertThat(isClosed(fixture), is(true));
    }

    @Test
    void should_let_a_transaction_end_in_its_time() {
        CallerSessionFixture fixture = inTransaction().startsDraining();
        fixture.advance(UNTIL_TRANSACTIONS_END.minusMillis(1)).on(TIME_PASSED);
        assertThat(isClosed(fixture), is(false));
        fixture.sends(COMMIT).grantsSlot();
        fixture.receivesReplies(completed(TransactionState.IDLE, 2));
        assertThat(fixture.result() instanceof StatementResult.Completed, is(true));
        assertThat(isClosed(fixture), is(true));
    }

    @Test
    void should_roll_back_a_transaction_whose_time_is_over_and_report_it_with_the_next_statement() {
        CallerSessionFixture fixture = inTransaction().startsDraining();
        fixture.advance(UNTIL_TRANSACTIONS_END).on(TIME_PASSED);
        assertThat(
                fixture.effect(SessionEffect.ReturnConnection.class)
                        .map(SessionEffect.ReturnConnection::rollbackRequired),
                is(Optional.of(true)));
        assertThat(isClosed(fixture), is(false));
        fixture.sends(COMMIT);
        assertThat(fixture.error(), is(ErrorCode.ROLLED_BACK));
        assertThat(isClosed(fixture), is(true));
    }

    @Test
    void should_close_a_failed_transaction_that_its_caller_does_not_end() {
        CallerSessionFixture fixture = inTransaction().startsDraining();
        fixture.advance(UNTIL_TRANSACTIONS_END).on(TIME_PASSED).sends(WRITE);
        assertThat(fixture.error(), is(ErrorCode.ROLLED_BACK));
        assertThat(fixture.transactionState(), is(TransactionState.FAILED));
        assertThat(isClosed(fixture.on(TIME_PASSED)), is(true));
    }

    @Test
    void should_report_a_write_in_doubt_when_its_answer_is_due() {
        assertThat(whenAnswersAreDue(connected().sends(WRITE).grantsSlot()).error(), is(ErrorCode.IN_DOUBT));
    }

    @Test
    void should_report_a_commit_in_doubt_when_its_answer_is_due() {
        CallerSessionFixture fixture = inTransaction();
        fixture.sends(COMMIT).grantsSlot();
        assertThat(whenAnswersAreDue(fixture).error(), is(ErrorCode.IN_DOUBT));
    }

    @Test
    void should_report_a_read_as_unanswered_when_its_answer_is_due() {
        CallerSessionFixture fixture = connected().sends(READ).grantsSlot();
        assertThat(whenAnswersAreDue(fixture).error(), is(ErrorCode.TIMEOUT));
        assertThat(fixture.hasEffect(SessionEffect.CloseConnection.class), is(true));
    }

    @Test
    void should_roll_back_a_transaction_with_a_statement_whose_answer_is_due() {
        CallerSessionFixture fixture = inTransaction().sends(WRITE).grantsSlot();
        assertThat(whenAnswersAreDue(fixture).error(), is(ErrorCode.ROLLED_BACK));
        assertThat(fixture.hasEffect(SessionEffect.CloseConnection.class), is(true));
    }

    @Test
    void should_refuse_a_statement_that_waits_for_a_slot_when_its_answer_is_due() {
        CallerSessionFixture fixture = whenAnswersAreDue(connected().sends(WRITE));
        assertThat(fixture.error(), is(ErrorCode.BUSY));
        assertThat(fixture.hasEffect(SessionEffect.CancelSlotRequest.class), is(true));
    }

    @Test
    void should_refuse_a_transaction_that_would_be_rolled_back_at_once() {
        CallerSessionFixture fixture = connected().startsDraining();
        fixture.advance(UNTIL_TRANSACTIONS_END).sends(new Statement.Begin(false));
        assertThat(fixture.error(), is(ErrorCode.BUSY));
        assertThat(isClosed(fixture), is(true));
    }

    @Test
    void should_refuse_a_statement_that_arrives_after_the_answers_were_due() {
        CallerSessionFixture fixture = connected().startsDraining();
        fixture.advance(UNTIL_ANSWERS_ARE_DUE).sends(WRITE);
        assertThat(fixture.error(), is(ErrorCode.BUSY));
        assertThat(fixture.hasEffect(SessionEffect.RequestRateToken.class), is(false));
        assertThat(isClosed(fixture), is(true));
    }

    private static CallerSessionFixture connected() {
        return CallerSessionFixture.connectedWith(Consistency.PRIMARY).withStatementTimeout(Duration.ofMinutes(1));
    }

    private static CallerSessionFixture inTransaction() {
        return connected()
                .sends(new Statement.Begin(false))
                .grantsSlot()
                .receivesReplies(completed(TransactionState.OPEN, 1))
                .sends(WRITE)
                .grantsSlot()
                .receivesReplies(completed(TransactionState.OPEN, 1));
    }

    /** Starts a stop and lets the time pass until answers are due. Every session must then be closed. */
    private static CallerSessionFixture whenAnswersAreDue(CallerSessionFixture fixture) {
        fixture.startsDraining().advance(UNTIL_ANSWERS_ARE_DUE.minusMillis(1)).on(TIME_PASSED);
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(false));
        fixture.advance(Duration.ofMillis(1)).on(TIME_PASSED);
        assertThat(isClosed(fixture), is(true));
        return fixture;
    }

    private static boolean isClosed(CallerSessionFixture fixture) {
        return fixture.hasEffect(SessionEffect.CloseCallerConnection.class);
    }
}
