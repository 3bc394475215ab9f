package org.geraniumproxy.proxy.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import io.grpc.Status;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.protocol.Access;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.ExecuteRequest;
import org.geraniumproxy.protocol.NotRunReason;
import org.geraniumproxy.protocol.ReceivedStatement;
import org.geraniumproxy.proxy.testing.ManualDelay;
import org.geraniumproxy.proxy.testing.TestGroup;
import org.geraniumproxy.proxy.testing.TestNodes;
import org.geraniumproxy.proxy.testing.TransactionCaller;
import org.geraniumproxy.proxy.traffic.Delay;
import org.geraniumproxy.standin.runtime.Faults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against mixed, half-done and wrongly reported transactions. */
class Caller_transact_Test {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

    private final TestNodes nodes = new TestNodes();

    @AfterEach
    void close() {
        nodes.close();
    }

    @Test
    void should_apply_statements_when_committed() {
        // given
        TransactionCaller caller = begin(TestNodes.KEY);
        ExecuteReply statement = caller.statement("PUT act mime");

        // when
        ExecuteReply committed = caller.commit();

        // then
        assertThat(statement.getOutcome().hasAnswer(), is(true));
        assertThat(committed.getOutcome().hasAnswer(), is(true));
        assertThat(caller.ended().getCode(), equalTo(Status.Code.OK));
        assertThat(read("act"), contains("mime"));
        assertThat(nodes.pool.held(), equalTo(0));
    }

    @Test
    void should_pin_connections_apart_when_two_callers_have_transactions() {
        // given
        TransactionCaller first = begin(TestNodes.KEY);
        TransactionCaller second = begin(TestNodes.OTHER_KEY);

        // when their statements alternate
        first.statement("PUT first 1");
        second.statement("PUT second 1");
        first.statement("PUT first 2");
        second.statement("PUT second 2");
        first.commit();
        second.rollback();

        // then
        assertThat(connectionsOf("PUT first"), hasSize(1));
        assertThat(connectionsOf("PUT second"), hasSize(1));
        assertThat(connectionsOf("PUT first"), not(equalTo(connectionsOf("PUT second"))));
        assertThat(read("first"), contains("2"));
        assertThat(read("second"), not(contains("2")));
    }

    @Test
    void should_roll_back_when_caller_goes() {
        // given
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");

        // when
        caller.go();
        drained();

        // then
        assertThat(read("act"), not(contains("mime")));
    }

    @Test
    void should_be_unknown_when_answer_of_commit_is_lost() {
        // given
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");
        nodes.group.inject(TestGroup.PRIMARY, new Faults(Duration.ZERO, false, 1, false, Optional.empty(), false));

        // when
        ExecuteReply committed = caller.commit();

        // then
        assertThat(committed.getOutcome().hasUnknown(), is(true));
        assertThat(read("act"), contains("mime"));
    }

    @Test
    void should_be_unknown_when_commit_is_not_proven_durable() {
        // given
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");
        nodes.durable.set(CompletableFuture.completedFuture(false));

        // when
        ExecuteReply committed = caller.commit();

        // then
        assertThat(committed.getOutcome().hasUnknown(), is(true));
    }

    @Test
    void should_end_stream_and_roll_back_when_key_is_withdrawn() {
        // given a caller that stays silent
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");

        // when
        nodes.withdrawKey();

        // then
        assertThat(caller.ended().getCode(), equalTo(Status.Code.PERMISSION_DENIED));
        drained();
        assertThat(nodes.pool.held(), equalTo(0));
        assertThat(read("act"), not(contains("mime")));
    }

    /** Guards against a transaction that goes on for the former customer of its key. */
    @Test
    void should_end_stream_and_roll_back_when_key_moves_to_another_customer() {
        // given a caller that stays silent
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");

        // when
        nodes.moveKey();

        // then
        assertThat(caller.ended().getCode(), equalTo(Status.Code.UNAVAILABLE));
        drained();
        assertThat(nodes.pool.held(), equalTo(0));
        assertThat(read("act"), not(contains("mime")));
    }

    /** Guards against a commit for the former customer before the next look at the configuration. */
    @Test
    void should_refuse_to_commit_for_the_former_customer_of_the_key() {
        try (TestNodes unchecked = new TestNodes(new ManualDelay())) {
            // given
            TransactionCaller caller = TransactionCaller.open(unchecked.streamingCaller());
            caller.begin(TestNodes.KEY);
            caller.statement("PUT act mime");

            // when
            unchecked.moveKey();
            ExecuteReply committed = caller.commit();

            // then
            assertThat(committed.getOutcome().getNotRun().getReason(), equalTo(NotRunReason.FOREIGN_TOKEN));
        }
    }

    /** Guards against a statement that takes a token of one customer and runs after its key has moved. */
    @Test
    void should_refuse_a_statement_whose_key_moves_while_it_waits_for_its_token() {
        // given
        TransactionCaller caller = begin(TestNodes.KEY);
        nodes.onTokenWait.set(nodes::moveKey);

        // when
        ExecuteReply reply = caller.statement("PUT act mime");

        // then
        assertThat(reply.getOutcome().getNotRun().getReason(), equalTo(NotRunReason.FOREIGN_TOKEN));
    }

    @Test
    void should_refuse_statement_and_keep_transaction_when_statement_is_too_large() {
        // given
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");

        // when
        ExecuteReply refused = caller.statement("PUT act " + "x".repeat(64 * 1024));

        // then
        assertThat(refused.getOutcome().getNotRun().getReason(), equalTo(NotRunReason.STATEMENT_TOO_LARGE));
        assertThat(caller.commit().getOutcome().hasAnswer(), is(true));
        assertThat(read("act"), contains("mime"));
    }

    @Test
    void should_finish_transaction_and_refuse_new_work_when_draining() {
        // given
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");

        // when
        nodes.entryRequests.drain(TestGroup.CLOCK.instant().plusSeconds(30));
        CompletableFuture<Void> drained = nodes.entryRequests.closeWhenIdle();
        boolean drainedEarly = drained.isDone();
        ExecuteReply refused = TransactionCaller.open(nodes.streamingCaller()).begin(TestNodes.KEY);
        ExecuteReply committed = caller.commit();

        // then
        TestGroup.join(drained);
        assertThat(drainedEarly, is(false));
        assertThat(refused.getOutcome().getNotRun().getReason(), equalTo(NotRunReason.DRAINING));
        assertThat(committed.getOutcome().hasAnswer(), is(true));
    }

    @Test
    void should_end_stream_and_roll_back_when_drain_of_entry_proxy_is_over() {
        // given a caller that stays silent
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");

        // when
        nodes.entryRequests.endAll();

        // then
        assertThat(caller.ended().getCode(), equalTo(Status.Code.UNAVAILABLE));
        drained();
        assertThat(nodes.pool.held(), equalTo(0));
    }

    @Test
    void should_be_not_run_when_drain_of_coordinator_is_over_between_statements() {
        // given
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");

        // when
        nodes.coordinatorRequests.endAll();
        drained();
        ExecuteReply committed = caller.commit();

        // then
        assertThat(committed.getOutcome().hasNotRun(), is(true));
        assertThat(nodes.pool.held(), equalTo(0));
    }

    @Test
    void should_be_unknown_when_drain_of_coordinator_is_over_after_commit_was_sent() {
        // given a commit that waits for its proof of durability
        nodes.durable.set(new CompletableFuture<>());
        TransactionCaller caller = begin(TestNodes.KEY);
        caller.statement("PUT act mime");
        CompletableFuture<ExecuteReply> committed =
                CompletableFuture.supplyAsync(caller::commit, nodes.transport.executor());
        TestGroup.join(nodes.durabilityAsked);

        // when
        nodes.coordinatorRequests.endAll();

        // then
        assertThat(TestGroup.join(committed).getOutcome().hasUnknown(), is(true));
    }

    private TransactionCaller begin(String key) {
        TransactionCaller caller = TransactionCaller.open(nodes.streamingCaller());
        assertThat(caller.begin(key).getOutcome().hasAnswer(), is(true));
        return caller;
    }

    /** Waits until no transaction is in flight at the coordinator, which keeps serving reads. */
    private void drained() {
        TestGroup.join(coordinatorIdle());
    }

    private CompletableFuture<Void> coordinatorIdle() {
        return nodes.coordinatorRequests.count() == 0
                ? CompletableFuture.completedFuture(null)
                : Delay.SYSTEM.after(POLL_INTERVAL).thenCompose(_ -> coordinatorIdle());
    }

    private List<String> read(String key) {
        ExecuteRequest request = ExecuteRequest.newBuilder()
                .setKey(TestNodes.OTHER_KEY)
                .setRoute("registrations")
                .setStatementKey("act")
                .setStatement("GET " + key)
                .setAccess(Access.READ)
                .setDeadlineMillis(20_000)
                .build();
        return nodes.caller().execute(request).getOutcome().getAnswer().getRowsList();
    }

    private List<String> connectionsOf(String statement) {
        return nodes.group.history(TestGroup.PRIMARY).getReceivedList().stream()
                .filter(received -> received.getStatement().startsWith(statement))
                .map(ReceivedStatement::getConnection)
                .distinct()
                .toList();
    }
}
