package org.geraniumproxy.core.caller;

import static org.geraniumproxy.core.caller.CallerSessionFixture.PRIMARY;
import static org.geraniumproxy.core.caller.CallerSessionFixture.REPLICA;
import static org.geraniumproxy.core.caller.CallerSessionFixture.completed;
import static org.geraniumproxy.core.caller.CallerSessionFixture.failed;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.statement.Statement;
import org.geraniumproxy.core.statement.StatementTemplate;
import org.junit.jupiter.api.Test;

/** Guards against wrong error codes, repeated writes and stale reads of statements outside a transaction. */
class CallerSession_run_Test {
    private static final Statement READ = new Statement.Read("FETCH 1");
    private static final Statement WRITE = new Statement.Write("PUT 1 x");

    @Test
    void should_not_answer_a_read_from_a_demoted_primary() {
        // given
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(READ)
                .grantsSlot();
        assertThat(fixture.sentCommands().get(1), is(new BackendCommand.Begin(false, Optional.empty())));
        // when
        fixture.receivesReplies(
                completed(TransactionState.IDLE, 9),
                failed(ErrorCode.READ_ONLY, TransactionState.IDLE),
                failed(ErrorCode.MALFORMED, TransactionState.IDLE));
        // then
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(false));
        assertThat(
                fixture.effect(SessionEffect.ReportObservation.class)
                        .orElseThrow()
                        .observation(),
                instanceOf(DatabaseObservation.NotPrimary.class));
    }

    @Test
    void should_answer_a_read_from_a_confirmed_primary() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(READ)
                .grantsSlot()
                .receivesReplies(
                        completed(TransactionState.IDLE, 9),
                        completed(TransactionState.OPEN, 9),
                        completed(TransactionState.IDLE, 9));
        assertThat(fixture.result(), is(new StatementResult.Completed("signature")));
    }

    @Test
    void should_read_from_a_replica_only_with_a_confirmed_position() {
        CallerSessionFixture unproven = CallerSessionFixture.connectedWith(Consistency.BOUNDED_STALENESS)
                .sends(READ);
        assertThat(unproven.requestedDatabase(), is(Optional.of(PRIMARY)));

        LogPosition position = LogPosition.of(3, 12);
        CallerSessionFixture proven = CallerSessionFixture.connectedWith(Consistency.BOUNDED_STALENESS)
                .recordsPrimaryPosition(position)
                .sends(READ);
        assertThat(proven.requestedDatabase(), is(Optional.of(REPLICA)));
        proven.grantsSlot();
        assertThat(
                proven.sentCommands(),
                contains(new BackendCommand.ExecuteText("r1", "FETCH 1", Optional.of(position))));
    }

    @Test
    void should_retry_at_the_primary_when_the_replica_lags() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.BOUNDED_STALENESS)
                .recordsPrimaryPosition(LogPosition.of(3, 12))
                .sends(READ)
                .grantsSlot()
                .receivesReplies(failed(ErrorCode.LAGGING, TransactionState.IDLE));
        assertThat(fixture.requestedDatabase(), is(Optional.of(PRIMARY)));
    }

    @Test
    void should_require_the_last_commit_of_the_session_for_read_your_writes() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.READ_YOUR_WRITES)
                .recordsPrimaryPosition(LogPosition.of(3, 2))
                .sends(WRITE)
                .grantsSlot()
                .receivesReplies(completed(TransactionState.IDLE, 50))
                .sends(READ)
                .grantsSlot();
        assertThat(
                fixture.sentCommands(),
                contains(new BackendCommand.ExecuteText("r1", "FETCH 1", Optional.of(LogPosition.of(3, 50)))));
    }

    @Test
    void should_report_a_lost_write_as_in_doubt() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(WRITE)
                .grantsSlot()
                .losesConnection();
        assertThat(fixture.error(), is(ErrorCode.IN_DOUBT));
    }

    @Test
    void should_retry_a_read_after_a_lost_connection() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(READ)
                .grantsSlot()
                .losesConnection();
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(false));
        fixture.advance(StatementExecution.RETRY_DELAY).on(new SessionEvent.TimePassed());
        assertThat(fixture.requestedDatabase(), is(Optional.of(PRIMARY)));
    }

    @Test
    void should_report_a_statement_without_a_slot_as_not_run() {
        CallerSessionFixture fixture =
                CallerSessionFixture.connectedWith(Consistency.PRIMARY).sends(WRITE);
        fixture.advance(CallerSessionFixture.TIMEOUT).on(new SessionEvent.TimePassed());
        assertThat(fixture.error(), is(ErrorCode.BUSY));
        assertThat(fixture.hasEffect(SessionEffect.CancelSlotRequest.class), is(true));
    }

    @Test
    void should_report_an_unanswered_write_as_timed_out() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(WRITE)
                .grantsSlot();
        fixture.advance(CallerSessionFixture.TIMEOUT).on(new SessionEvent.TimePassed());
        assertThat(fixture.error(), is(ErrorCode.TIMEOUT));
        assertThat(fixture.hasEffect(SessionEffect.CloseConnection.class), is(true));
    }

    @Test
    void should_refuse_a_statement_over_the_rate() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .on(new SessionEvent.StatementReceived("r1", READ));
        fixture.on(new SessionEvent.RateTokenRefused(fixture.tokenRequestId(), Duration.ofMillis(40), "no token"));
        assertThat(fixture.error(), is(ErrorCode.BUSY));
    }

    /** Guards against a second reply to one statement, which the caller would take for that of its next one. */
    @Test
    void should_ignore_a_refused_token_of_a_statement_that_has_timed_out() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .on(new SessionEvent.StatementReceived("r1", READ));
        long first = fixture.tokenRequestId();
        fixture.advance(CallerSessionFixture.TIMEOUT).on(new SessionEvent.TimePassed());
        assertThat(fixture.error(), is(ErrorCode.BUSY));
        fixture.on(new SessionEvent.RateTokenRefused(first, Duration.ofMillis(40), "no token"));
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(false));
    }

    /** Guards against a write that runs on the token of an earlier one and is then refused with its own. */
    @Test
    void should_ignore_a_token_that_an_earlier_statement_requested() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .on(new SessionEvent.StatementReceived("r1", WRITE));
        long first = fixture.tokenRequestId();
        fixture.advance(CallerSessionFixture.TIMEOUT).on(new SessionEvent.TimePassed());
        fixture.on(new SessionEvent.StatementReceived("r2", WRITE));
        long second = fixture.tokenRequestId();
        fixture.on(new SessionEvent.RateTokenGranted(first));
        assertThat(fixture.hasEffect(SessionEffect.RequestSlot.class), is(false));
        fixture.on(new SessionEvent.RateTokenRefused(first, Duration.ofMillis(40), "no token"));
        assertThat(fixture.hasEffect(SessionEffect.Reply.class), is(false));
        fixture.on(new SessionEvent.RateTokenGranted(second));
        assertThat(fixture.hasEffect(SessionEffect.RequestSlot.class), is(true));
    }

    @Test
    void should_refuse_a_withdrawn_key_on_a_connected_session() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .withdrawsKey()
                .sends(READ);
        assertThat(fixture.error(), is(ErrorCode.UNKNOWN_KEY));
    }

    /**
     * Guards against a retry without a customer after the key was withdrawn (svps-kosba scale-1, seed 129601990315).
     */
    @Test
    void should_not_retry_a_statement_whose_key_was_withdrawn() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(WRITE)
                .grantsSlot()
                .receivesReplies(failed(ErrorCode.BUSY, TransactionState.IDLE))
                .withdrawsKey()
                .advance(StatementExecution.RETRY_DELAY)
                .on(new SessionEvent.TimePassed());
        assertThat(fixture.hasEffect(SessionEffect.RequestSlot.class), is(false));
        assertThat(fixture.error(), is(ErrorCode.UNKNOWN_KEY));
    }

    @Test
    void should_refuse_to_prepare_a_name_twice() {
        Statement prepare = new Statement.Prepare("s1", new StatementTemplate(true, "q"));
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(prepare)
                .sends(prepare);
        assertThat(fixture.error(), is(ErrorCode.MALFORMED));
        assertThat(fixture.sentCommands(), is(empty()));
    }

    @Test
    void should_apply_the_session_state_before_the_statement_is_sent() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(new Statement.SetVariable("zone", "1"))
                .sends(WRITE)
                .grantsSlot();
        assertThat(fixture.sentCommands(), contains(new BackendCommand.SetVariable("zone", "1")));
        fixture.receivesReplies(completed(TransactionState.IDLE, 1));
        assertThat(fixture.sentCommands(), contains(new BackendCommand.ExecuteText("r1", "PUT 1 x", Optional.empty())));
    }

    @Test
    void should_close_a_draining_session_only_while_it_is_idle() {
        CallerSessionFixture working = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(WRITE)
                .startsDraining();
        assertThat(
                working.on(new SessionEvent.TimePassed()).hasEffect(SessionEffect.CloseCallerConnection.class),
                is(false));

        CallerSessionFixture idle = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .startsDraining()
                .advance(SessionDrain.FIRST_STATEMENT_WAIT);
        assertThat(
                idle.on(new SessionEvent.TimePassed()).hasEffect(SessionEffect.CloseCallerConnection.class), is(true));
    }

    @Test
    void should_release_the_slot_when_the_caller_disconnects() {
        CallerSessionFixture fixture = CallerSessionFixture.connectedWith(Consistency.PRIMARY)
                .sends(WRITE)
                .grantsSlot()
                .on(new SessionEvent.CallerDisconnected());
        assertThat(fixture.hasEffect(SessionEffect.ReleaseSlot.class), is(true));
        assertThat(fixture.hasEffect(SessionEffect.CloseConnection.class), is(true));
    }
}
