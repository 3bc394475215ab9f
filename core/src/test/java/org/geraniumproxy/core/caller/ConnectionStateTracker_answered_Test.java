package org.geraniumproxy.core.caller;

import static org.geraniumproxy.core.caller.CallerSessionFixture.completed;
import static org.geraniumproxy.core.caller.CallerSessionFixture.failed;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.statement.StatementTemplate;
import org.junit.jupiter.api.Test;

/** Guards against a connection whose recorded state is not that of the database. */
class ConnectionStateTracker_answered_Test {
    private static final StatementTemplate TEMPLATE = new StatementTemplate(true, "q2c");
    private static final BackendCommand SET = new BackendCommand.SetVariable("zone", "lima");
    private static final BackendCommand PREPARE = new BackendCommand.Prepare("p1", TEMPLATE);
    private static final BackendCommand BEGIN = new BackendCommand.Begin(false, Optional.empty());
    private static final BackendCommand ROLLBACK = new BackendCommand.Rollback();
    private static final BackendReply DONE = completed(TransactionState.IDLE, 1);

    @Test
    void should_follow_the_commands_that_the_database_has_carried_out() {
        ConnectionStateTracker tracker = answered(ConnectionStateTracker.NEW, SET, PREPARE);
        assertThat(tracker.state(), is(new ConnectionState(Map.of("zone", "lima"), Map.of(TEMPLATE, "p1"), 2)));
        assertThat(
                answered(tracker, new BackendCommand.Discard()).state(),
                is(new ConnectionState(Map.of(), Map.of(), 2)));
    }

    @Test
    void should_not_know_the_state_while_an_answer_is_missing() {
        ConnectionStateTracker sent = ConnectionStateTracker.NEW.sent(List.of(SET));
        assertThat(sent.isKnown(), is(false));
        assertThat(sent.answered(List.of(DONE)).isKnown(), is(true));
        assertThat(sent.sent(List.of(ROLLBACK)).answered(List.of(DONE)).isKnown(), is(false));
        assertThrows(IllegalArgumentException.class, () -> sent.answered(List.of()));
    }

    @Test
    void should_not_know_the_state_after_a_command_that_changes_it_has_failed() {
        BackendReply failure = failed(ErrorCode.FAILED, TransactionState.IDLE);
        for (BackendCommand command : List.of(SET, PREPARE, new BackendCommand.Discard())) {
            assertThat(
                    ConnectionStateTracker.NEW
                            .sent(List.of(command))
                            .answered(List.of(failure))
                            .isKnown(),
                    is(false));
        }
    }

    /** Guards against a name that is taken for present although the database doesn't know it. */
    @Test
    void should_not_know_the_state_when_a_prepared_statement_is_missing() {
        BackendCommand execute = new BackendCommand.ExecutePrepared("r1", "p1", "", Optional.empty());
        ConnectionStateTracker sent = ConnectionStateTracker.NEW.sent(List.of(execute));
        assertThat(
                sent.answered(List.of(failed(ErrorCode.UNKNOWN_STATEMENT, TransactionState.IDLE)))
                        .isKnown(),
                is(false));
        assertThat(
                sent.answered(List.of(failed(ErrorCode.BUSY, TransactionState.IDLE)))
                        .isKnown(),
                is(true));
    }

    /** Guards against variables that a database takes back with a transaction, and against needless reconnections. */
    @Test
    void should_not_know_the_state_after_the_rollback_of_a_transaction_that_set_variables() {
        ConnectionStateTracker outside = answered(ConnectionStateTracker.NEW, SET, BEGIN, PREPARE);
        assertThat(outside.isKnownAfter(true), is(true));
        assertThat(answered(outside, ROLLBACK).isKnown(), is(true));
        ConnectionStateTracker inside = answered(ConnectionStateTracker.NEW, BEGIN, SET);
        assertThat(inside.isKnownAfter(false), is(true));
        assertThat(inside.isKnownAfter(true), is(false));
        assertThat(answered(inside, ROLLBACK).isKnown(), is(false));
        assertThat(
                answered(inside, new BackendCommand.Commit("r1"), BEGIN, ROLLBACK)
                        .isKnown(),
                is(true));
    }

    private static ConnectionStateTracker answered(ConnectionStateTracker tracker, BackendCommand... commands) {
        List<BackendReply> replies = Arrays.stream(commands).map(_ -> DONE).toList();
        return tracker.sent(List.of(commands)).answered(replies);
    }
}
