package org.geraniumproxy.core.caller;

import static org.geraniumproxy.core.caller.SessionBench.PRIMARY;
import static org.geraniumproxy.core.caller.SessionBench.REPLICA;
import static org.geraniumproxy.core.caller.SessionBench.completed;
import static org.geraniumproxy.core.caller.SessionBench.failed;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.statement.PreparedShape;
import org.geraniumproxy.core.statement.Statement;
import org.junit.jupiter.api.Test;

/** Guards against false promises, repeated writes and stale answers of single statements. */
class CallerSession_run_Test {
    private static final Statement READ = new Statement.Read("FETCH 1");
    private static final Statement WRITE = new Statement.Write("PUT 1 x");

    @Test
    void should_not_answer_a_read_whose_database_no_longer_leads() {
        // given
        SessionBench bench =
                SessionBench.connectedTo(Consistency.PRIMARY).sends(READ).isGrantedSlot();
        assertThat(bench.sent().get(1), is(new BackendCommand.Begin(false, Optional.empty())));
        // when
        bench.isAnswered(
                completed(TransactionState.IDLE, 9),
                failed(ErrorCode.READ_ONLY, TransactionState.IDLE),
                failed(ErrorCode.MALFORMED, TransactionState.IDLE));
        // then
        assertThat(bench.has(SessionEffect.Reply.class), is(false));
        assertThat(
                bench.find(SessionEffect.Observe.class).orElseThrow().observation(),
                instanceOf(DatabaseObservation.NotLeading.class));
    }

    @Test
    void should_answer_a_read_that_the_primary_proved() {
        SessionBench bench = SessionBench.connectedTo(Consistency.PRIMARY)
                .sends(READ)
                .isGrantedSlot()
                .isAnswered(
                        completed(TransactionState.IDLE, 9),
                        completed(TransactionState.OPEN, 9),
                        completed(TransactionState.IDLE, 9));
        assertThat(bench.result(), is(new StatementResult.Completed("signature")));
    }

    @Test
    void should_read_at_a_replica_only_with_a_proven_position() {
        SessionBench unproven =
                SessionBench.connectedTo(Consistency.BOUNDED_STALENESS).sends(READ);
        assertThat(unproven.slotOf(), is(Optional.of(PRIMARY)));

        LogPosition position = LogPosition.of(3, 12);
        SessionBench proven = SessionBench.connectedTo(Consistency.BOUNDED_STALENESS)
                .knowsPosition(position)
                .sends(READ);
        assertThat(proven.slotOf(), is(Optional.of(REPLICA)));
        proven.isGrantedSlot();
        assertThat(proven.sent(), contains(new BackendCommand.Run("r1", "FETCH 1", Optional.of(position))));
    }

    @Test
    void should_go_to_the_primary_when_the_replica_lags() {
        SessionBench bench = SessionBench.connectedTo(Consistency.BOUNDED_STALENESS)
                .knowsPosition(LogPosition.of(3, 12))
                .sends(READ)
                .isGrantedSlot()
                .isAnswered(failed(ErrorCode.LAGGING, TransactionState.IDLE));
        assertThat(bench.slotOf(), is(Optional.of(PRIMARY)));
    }

    @Test
    void should_require_the_own_commit_on_routes_that_promise_it() {
        SessionBench bench = SessionBench.connectedTo(Consistency.READ_YOUR_WRITES)
                .knowsPosition(LogPosition.of(3, 2))
                .sends(WRITE)
                .isGrantedSlot()
                .isAnswered(completed(TransactionState.IDLE, 50))
                .sends(READ)
                .isGrantedSlot();
        assertThat(bench.sent(), contains(new BackendCommand.Run("r1", "FETCH 1", Optional.of(LogPosition.of(3, 50)))));
    }

    @Test
    void should_leave_the_outcome_of_a_lost_write_open() {
        SessionBench bench = SessionBench.connectedTo(Consistency.PRIMARY)
                .sends(WRITE)
                .isGrantedSlot()
                .losesConnection();
        assertThat(bench.error(), is(ErrorCode.IN_DOUBT));
    }

    @Test
    void should_repeat_a_lost_read() {
        SessionBench bench = SessionBench.connectedTo(Consistency.PRIMARY)
                .sends(READ)
                .isGrantedSlot()
                .losesConnection();
        assertThat(bench.has(SessionEffect.Reply.class), is(false));
        bench.advance(StatementRun.PLACEMENT_PAUSE).on(new SessionEvent.TimePassed());
        assertThat(bench.slotOf(), is(Optional.of(PRIMARY)));
    }

    @Test
    void should_say_that_a_statement_without_a_slot_was_not_run() {
        SessionBench bench = SessionBench.connectedTo(Consistency.PRIMARY).sends(WRITE);
        bench.advance(SessionBench.TIMEOUT).on(new SessionEvent.TimePassed());
        assertThat(bench.error(), is(ErrorCode.BUSY));
        assertThat(bench.has(SessionEffect.CancelSlot.class), is(true));
    }

    @Test
    void should_promise_nothing_for_a_write_that_was_sent_and_not_answered() {
        SessionBench bench =
                SessionBench.connectedTo(Consistency.PRIMARY).sends(WRITE).isGrantedSlot();
        bench.advance(SessionBench.TIMEOUT).on(new SessionEvent.TimePassed());
        assertThat(bench.error(), is(ErrorCode.TIMEOUT));
        assertThat(bench.has(SessionEffect.CloseConnection.class), is(true));
    }

    @Test
    void should_refuse_at_once_what_is_over_the_rate() {
        SessionBench bench = SessionBench.connectedTo(Consistency.PRIMARY)
                .on(new SessionEvent.StatementArrived("r1", READ))
                .on(new SessionEvent.TokenRefused(Duration.ofMillis(40)));
        assertThat(bench.error(), is(ErrorCode.BUSY));
    }

    @Test
    void should_refuse_a_withdrawn_key_on_a_connected_session() {
        SessionBench bench =
                SessionBench.connectedTo(Consistency.PRIMARY).forgetsKey().sends(READ);
        assertThat(bench.error(), is(ErrorCode.UNKNOWN_KEY));
    }

    /**
     * Guards against a statement that is placed again in the name of no customer (svps-kosba scale-1, seed
     * 129601990315).
     */
    @Test
    void should_not_place_a_statement_again_whose_key_was_withdrawn() {
        SessionBench bench = SessionBench.connectedTo(Consistency.PRIMARY)
                .sends(WRITE)
                .isGrantedSlot()
                .isAnswered(failed(ErrorCode.BUSY, TransactionState.IDLE))
                .forgetsKey()
                .advance(StatementRun.PLACEMENT_PAUSE)
                .on(new SessionEvent.TimePassed());
        assertThat(bench.has(SessionEffect.RequestSlot.class), is(false));
        assertThat(bench.error(), is(ErrorCode.UNKNOWN_KEY));
    }

    @Test
    void should_refuse_a_name_that_is_prepared_twice() {
        Statement prepare = new Statement.Prepare("s1", new PreparedShape(true, "q"));
        SessionBench bench =
                SessionBench.connectedTo(Consistency.PRIMARY).sends(prepare).sends(prepare);
        assertThat(bench.error(), is(ErrorCode.MALFORMED));
        assertThat(bench.sent(), is(empty()));
    }

    @Test
    void should_bring_the_connection_up_to_date_before_the_statement_is_sent() {
        SessionBench bench = SessionBench.connectedTo(Consistency.PRIMARY)
                .sends(new Statement.SetValue("zone", "1"))
                .sends(WRITE)
                .isGrantedSlot();
        assertThat(bench.sent(), contains(new BackendCommand.SetValue("zone", "1")));
        bench.isAnswered(completed(TransactionState.IDLE, 1));
        assertThat(bench.sent(), contains(new BackendCommand.Run("r1", "PUT 1 x", Optional.empty())));
    }

    @Test
    void should_close_a_session_of_a_stopping_process_only_at_rest() {
        SessionBench working =
                SessionBench.connectedTo(Consistency.PRIMARY).sends(WRITE).drains();
        assertThat(working.on(new SessionEvent.TimePassed()).has(SessionEffect.CloseCaller.class), is(false));

        SessionBench resting = SessionBench.connectedTo(Consistency.PRIMARY).drains();
        assertThat(resting.on(new SessionEvent.TimePassed()).has(SessionEffect.CloseCaller.class), is(true));
    }

    @Test
    void should_free_the_slot_when_the_caller_leaves() {
        SessionBench bench = SessionBench.connectedTo(Consistency.PRIMARY)
                .sends(WRITE)
                .isGrantedSlot()
                .on(new SessionEvent.CallerLeft());
        assertThat(bench.has(SessionEffect.ReleaseSlot.class), is(true));
        assertThat(bench.has(SessionEffect.CloseConnection.class), is(true));
    }
}
