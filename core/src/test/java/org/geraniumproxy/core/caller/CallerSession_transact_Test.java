package org.geraniumproxy.core.caller;

import static org.geraniumproxy.core.caller.CallerSessionFixture.completed;
import static org.geraniumproxy.core.caller.CallerSessionFixture.failed;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.statement.Statement;
import org.junit.jupiter.api.Test;

/** Guards against statements that run outside their transaction and against wrong reports about commits. */
class CallerSession_transact_Test {
    private static final Statement BEGIN = new Statement.Begin(false);
    private static final Statement WRITE = new Statement.Write("PUT 1 x");
    private static final Statement COMMIT = new Statement.Commit();

    private static CallerSessionFixture withOneWrite() {
        return CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(BEGIN)
                .grantsSlot()
                .receivesReplies(completed(TransactionState.OPEN, 1))
                .sends(WRITE)
                .grantsSlot()
                .receivesReplies(completed(TransactionState.OPEN, 1));
    }

    @Test
    void should_begin_at_the_database_before_the_first_statement_arrives() {
        CallerSessionFixture fixture =
                CallerSessionFixture.connectedWith(Consistency.PRIMARY).sends(BEGIN);
        assertThat(fixture.transactionState(), is(TransactionState.OPEN));
        fixture.grantsSlot();
        assertThat(fixture.sentCommands(), contains(new BackendCommand.Begin(false, Optional.empty())));
        fixture.receivesReplies(completed(TransactionState.OPEN, 1));
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(false));
        assertThat(
                fixture.sends(WRITE).grantsSlot().sentCommands(),
                contains(new BackendCommand.ExecuteText("r1", "PUT 1 x", Optional.empty())));
    }

    @Test
    void should_send_a_statement_only_after_the_transaction_has_begun() {
        CallerSessionFixture fixture =
                CallerSessionFixture.connectedWith(Consistency.PRIMARY).sends(BEGIN);
        fixture.advance(CallerSessionFixture.TIMEOUT).on(new SessionEvent.TimePassed());
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(false));
        fixture.sends(WRITE).grantsSlot();
        assertThat(fixture.sentCommands(), contains(new BackendCommand.Begin(false, Optional.empty())));
        fixture.receivesReplies(completed(TransactionState.OPEN, 1));
        assertThat(fixture.sentCommands(), contains(new BackendCommand.ExecuteText("r1", "PUT 1 x", Optional.empty())));
    }

    @Test
    void should_keep_the_connection_between_statements() {
        CallerSessionFixture fixture = withOneWrite();
        assertThat(fixture.transactionState(), is(TransactionState.OPEN));
        assertThat(fixture.hasEffect(SessionEffect.ReleaseSlot.class), is(true));
        assertThat(fixture.hasEffect(SessionEffect.ReturnConnection.class), is(false));
        fixture.sends(WRITE);
        assertThat(fixture.effect(SessionEffect.RequestSlot.class).orElseThrow().holdsConnection(), is(true));
    }

    /** Guards against a primary that is considered able to replicate commits because of transactions without writes. */
    @Test
    void should_not_report_an_acknowledged_commit_for_a_transaction_without_writes() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(BEGIN)
                .grantsSlot()
                .receivesReplies(completed(TransactionState.OPEN, 1))
                .sends(new Statement.Read("FETCH 1"))
                .grantsSlot()
                .receivesReplies(completed(TransactionState.OPEN, 1))
                .sends(COMMIT)
                .grantsSlot()
                .receivesReplies(completed(TransactionState.IDLE, 1));
        assertThat(fixture.reportsAcknowledgedCommit(), is(false));
        assertThat(fixture.hasEffect(SessionEffect.RecordAcknowledgedCommit.class), is(false));
    }

    /** Guards against promotions that wait for a position including commits that were never acknowledged. */
    @Test
    void should_record_the_position_known_before_an_acknowledged_commit_was_sent() {
        CallerSessionFixture fixture = withOneWrite().recordsPrimaryPosition(LogPosition.of(3, 4));
        fixture.sends(COMMIT).grantsSlot().receivesReplies(completed(TransactionState.IDLE, 9));
        assertThat(fixture.reportsAcknowledgedCommit(), is(true));
        assertThat(
                fixture.effect(SessionEffect.RecordAcknowledgedCommit.class),
                is(Optional.of(
                        new SessionEffect.RecordAcknowledgedCommit(CallerSessionFixture.GROUP, LogPosition.of(3, 5)))));
    }

    @Test
    void should_report_a_lost_commit_as_in_doubt() {
        CallerSessionFixture fixture = withOneWrite().sends(COMMIT).grantsSlot().losesConnection();
        assertThat(fixture.error(), is(ErrorCode.IN_DOUBT));
        assertThat(fixture.transactionState(), is(TransactionState.IDLE));
    }

    @Test
    void should_report_a_transaction_lost_before_its_commit_as_rolled_back() {
        CallerSessionFixture fixture = withOneWrite().losesConnection().sends(WRITE);
        assertThat(fixture.error(), is(ErrorCode.ROLLED_BACK));
        assertThat(fixture.transactionState(), is(TransactionState.FAILED));
    }

    @Test
    void should_never_commit_a_transaction_that_was_rolled_back() {
        CallerSessionFixture fixture = withOneWrite().losesConnection().sends(COMMIT);
        assertThat(fixture.error(), is(ErrorCode.ROLLED_BACK));
        assertThat(fixture.sentCommands().isEmpty(), is(true));
    }

    @Test
    void should_place_a_refused_begin_again() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(BEGIN)
                .grantsSlot()
                .receivesReplies(failed(ErrorCode.READ_ONLY, TransactionState.IDLE));
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(false));
        fixture.advance(StatementExecution.RETRY_DELAY).on(new SessionEvent.TimePassed());
        assertThat(fixture.hasEffect(SessionEffect.RequestSlot.class), is(true));
    }

    @Test
    void should_not_retry_a_statement_after_others_of_its_transaction() {
        CallerSessionFixture fixture = withOneWrite()
                .sends(WRITE)
                .grantsSlot()
                .receivesReplies(failed(ErrorCode.BUSY, TransactionState.FAILED));
        assertThat(fixture.error(), is(ErrorCode.BUSY));
        assertThat(fixture.transactionState(), is(TransactionState.FAILED));
        assertThat(
                fixture.effect(SessionEffect.ReturnConnection.class)
                        .orElseThrow()
                        .rollbackRequired(),
                is(true));
    }

    @Test
    void should_roll_back_an_idle_transaction_after_the_timeout() {
        CallerSessionFixture fixture =
                withOneWrite().advance(Duration.ofSeconds(3)).on(new SessionEvent.TimePassed());
        assertThat(
                fixture.effect(SessionEffect.ReturnConnection.class)
                        .orElseThrow()
                        .rollbackRequired(),
                is(true));
        assertThat(fixture.sends(COMMIT).error(), is(ErrorCode.ROLLED_BACK));
    }

    @Test
    void should_roll_back_when_the_caller_disconnects() {
        CallerSessionFixture fixture = withOneWrite().on(new SessionEvent.CallerDisconnected());
        assertThat(
                fixture.effect(SessionEffect.ReturnConnection.class)
                        .orElseThrow()
                        .rollbackRequired(),
                is(true));
    }

    @Test
    void should_refuse_to_commit_without_a_transaction() {
        assertThat(
                CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                        .sends(COMMIT)
                        .error(),
                is(ErrorCode.MALFORMED));
    }

    @Test
    void should_refuse_statements_of_a_failed_transaction_until_it_ends() {
        CallerSessionFixture fixture = withOneWrite()
                .sends(WRITE)
                .grantsSlot()
                .receivesReplies(failed(ErrorCode.FAILED, TransactionState.FAILED));
        assertThat(fixture.sends(WRITE).error(), is(ErrorCode.MALFORMED));
        assertThat(fixture.sends(new Statement.Rollback()).transactionState(), is(TransactionState.IDLE));
    }
}
