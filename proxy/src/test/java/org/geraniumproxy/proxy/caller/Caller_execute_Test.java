package org.geraniumproxy.proxy.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.limit.RateDecision;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.protocol.Access;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.ExecuteRequest;
import org.geraniumproxy.protocol.NotRunReason;
import org.geraniumproxy.protocol.ReceivedStatement;
import org.geraniumproxy.proxy.testing.TestGroup;
import org.geraniumproxy.proxy.testing.TestNodes;
import org.geraniumproxy.proxy.traffic.RetryPolicy;
import org.geraniumproxy.standin.runtime.Faults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the whole path of a request: false claims of not run, double execution and untyped refusals. */
class Caller_execute_Test {
    private final TestNodes nodes = new TestNodes();

    @AfterEach
    void close() {
        nodes.close();
    }

    @Test
    void should_read_own_write_when_session_token_is_handed_back() {
        // given
        ExecuteReply written = execute(write("PUT act mime"));

        // when
        ExecuteReply read = execute(read("GET act").setSessionToken(written.getSessionToken()));

        // then
        assertThat(written.getOutcome().hasAnswer(), is(true));
        assertThat(read.getOutcome().getAnswer().getRowsList(), contains("mime"));
        assertThat(read.getServedByReplica(), is(false));
    }

    @Test
    void should_read_at_replica_when_age_is_accepted() {
        // given
        ExecuteReply written = execute(write("PUT act mime"));

        // when
        ExecuteReply read = execute(
                read("GET act").setSessionToken(written.getSessionToken()).setAcceptedAgeMillis(20_000));

        // then
        assertThat(read.getOutcome().getAnswer().getRowsList(), contains("mime"));
        assertThat(read.getServedBy(), equalTo("ledger-1b"));
        assertThat(read.getServedByReplica(), is(true));
    }

    @Test
    void should_be_unknown_and_applied_once_when_answer_of_write_is_lost() {
        // given a reply that is lost after the write took effect, and a policy that would try again
        nodes.group.inject(TestGroup.PRIMARY, new Faults(Duration.ZERO, false, 1, false, Optional.empty(), false));
        nodes.retries.set(new EagerRetries());

        // when
        ExecuteReply reply = execute(write("ADD fee 5"));

        // then
        assertThat(reply.getOutcome().hasUnknown(), is(true));
        assertThat(statements(), contains("ADD fee 5"));
    }

    @Test
    void should_try_again_when_lost_request_is_repeatable() {
        // given
        nodes.group.inject(TestGroup.PRIMARY, new Faults(Duration.ZERO, false, 1, false, Optional.empty(), false));
        nodes.retries.set(new EagerRetries());

        // when
        ExecuteReply reply = execute(write("PUT act mime").setRepeatable(true));

        // then
        assertThat(reply.getOutcome().hasAnswer(), is(true));
        assertThat(statements(), hasSize(2));
    }

    @Test
    void should_be_unknown_when_write_is_not_proven_durable() {
        // given
        nodes.durable.set(CompletableFuture.completedFuture(false));

        // when
        ExecuteReply reply = execute(write("PUT act mime"));

        // then
        assertThat(reply.getOutcome().hasUnknown(), is(true));
    }

    @Test
    void should_be_not_run_when_no_slot_is_granted() {
        // given
        nodes.pool.refuse();

        // when
        ExecuteReply reply = execute(write("PUT act mime"));

        // then the backend server has truly not seen it
        assertThat(reason(reply), equalTo(NotRunReason.QUEUE_FULL));
        assertThat(statements(), empty());
    }

    @Test
    void should_refuse_with_type_and_stay_usable_when_request_is_invalid() {
        // given
        String ownToken = execute(write("PUT act mime")).getSessionToken();
        String large = "PUT act " + "x".repeat(64 * 1024);

        // then
        assertThat(reason(execute(read("GET act").setRoute("none"))), equalTo(NotRunReason.UNKNOWN_ROUTE));
        assertThat(reason(execute(read("GET act").setKey("wrong"))), equalTo(NotRunReason.UNKNOWN_KEY));
        assertThat(reason(execute(read("GET act").setKey(""))), equalTo(NotRunReason.UNKNOWN_KEY));
        assertThat(reason(execute(read("GET act").setSessionToken("garbage"))), equalTo(NotRunReason.MALFORMED_TOKEN));
        assertThat(
                reason(execute(read("GET act").setKey(TestNodes.OTHER_KEY).setSessionToken(ownToken))),
                equalTo(NotRunReason.FOREIGN_TOKEN));
        assertThat(reason(execute(write(large))), equalTo(NotRunReason.STATEMENT_TOO_LARGE));
        assertThat(reason(execute(read("GET act").setDeadlineMillis(0))), equalTo(NotRunReason.DEADLINE_IN_PAST));
        assertThat(
                reason(execute(read("GET act").setAccess(Access.ACCESS_UNSPECIFIED))),
                equalTo(NotRunReason.MALFORMED_REQUEST));
        assertThat(statements(), contains("PUT act mime"));
        assertThat(execute(read("GET act")).getOutcome().hasAnswer(), is(true));
    }

    @Test
    void should_refuse_when_view_of_keys_is_too_old() {
        // given
        nodes.viewAge.set(Duration.ofSeconds(4));

        // when
        ExecuteReply reply = execute(read("GET act"));

        // then
        assertThat(reason(reply), equalTo(NotRunReason.VIEW_TOO_OLD));
    }

    @Test
    void should_finish_running_request_and_refuse_new_one_when_draining() {
        // given a write that waits for its proof of durability
        CompletableFuture<Boolean> proof = new CompletableFuture<>();
        nodes.durable.set(proof);
        CompletableFuture<ExecuteReply> running =
                CompletableFuture.supplyAsync(() -> execute(write("PUT act mime")), nodes.transport.executor());
        TestGroup.join(nodes.durabilityAsked);

        // when
        nodes.entryRequests.drain(TestGroup.CLOCK.instant().plusSeconds(30));
        CompletableFuture<Void> drained = nodes.entryRequests.closeWhenIdle();
        boolean drainedEarly = drained.isDone();
        ExecuteReply refused = execute(read("GET act"));
        proof.complete(true);

        // then
        assertThat(TestGroup.join(running).getOutcome().hasAnswer(), is(true));
        TestGroup.join(drained);
        assertThat(drainedEarly, is(false));
        assertThat(reason(refused), equalTo(NotRunReason.DRAINING));
    }

    @Test
    void should_be_unknown_when_drain_of_coordinator_is_over_after_write_was_sent() {
        // given a write that waits for its proof of durability
        nodes.durable.set(new CompletableFuture<>());
        CompletableFuture<ExecuteReply> running =
                CompletableFuture.supplyAsync(() -> execute(write("PUT act mime")), nodes.transport.executor());
        TestGroup.join(nodes.durabilityAsked);

        // when
        nodes.coordinatorRequests.endAll();

        // then
        assertThat(TestGroup.join(running).getOutcome().hasUnknown(), is(true));
    }

    @Test
    void should_be_unknown_when_drain_of_entry_proxy_is_over_after_write_was_forwarded() {
        // given a write that waits for its proof of durability
        nodes.durable.set(new CompletableFuture<>());
        CompletableFuture<ExecuteReply> running =
                CompletableFuture.supplyAsync(() -> execute(write("PUT act mime")), nodes.transport.executor());
        TestGroup.join(nodes.durabilityAsked);

        // when
        nodes.entryRequests.endAll();

        // then
        assertThat(TestGroup.join(running).getOutcome().hasUnknown(), is(true));
    }

    @Test
    void should_refuse_when_customer_is_over_its_rate() {
        // given
        nodes.rate.set(new RateDecision.Refused(Duration.ofMillis(40)));

        // when
        ExecuteReply reply = execute(read("GET act"));

        // then
        assertThat(reason(reply), equalTo(NotRunReason.RATE_EXCEEDED));
        assertThat(reply.getOutcome().getNotRun().getRetryAfterMillis(), equalTo(40L));
    }

    /** Guards against a request that is charged to one customer and runs for another one. */
    @Test
    void should_charge_the_new_customer_when_the_key_moves_while_the_request_waits_for_its_token() {
        // given
        nodes.onTokenWait.set(nodes::moveKey);

        // when
        ExecuteReply reply = execute(read("GET act"));

        // then
        assertThat(reply.getOutcome().hasAnswer(), is(true));
        assertThat(nodes.chargedCustomers, contains(TestNodes.CUSTOMER, TestNodes.OTHER_CUSTOMER));
    }

    private ExecuteReply execute(ExecuteRequest.Builder request) {
        return nodes.caller().execute(request.build());
    }

    private static NotRunReason reason(ExecuteReply reply) {
        return reply.getOutcome().getNotRun().getReason();
    }

    private List<String> statements() {
        return nodes.group.history(TestGroup.PRIMARY).getReceivedList().stream()
                .map(ReceivedStatement::getStatement)
                .filter(statement -> statement.contains(" "))
                .toList();
    }

    private static ExecuteRequest.Builder write(String statement) {
        return read(statement).setAccess(Access.WRITE);
    }

    private static ExecuteRequest.Builder read(String statement) {
        return ExecuteRequest.newBuilder()
                .setRequestNumber(11)
                .setKey(TestNodes.KEY)
                .setRoute("registrations")
                .setStatementKey("act")
                .setStatement(statement)
                .setAccess(Access.READ)
                .setDeadlineMillis(20_000);
    }

    /** Tries everything again once, whether it may be repeated or not. */
    private static final class EagerRetries implements RetryPolicy {
        @Override
        public void requestStarted() {}

        @Override
        public Optional<Duration> pauseBeforeRetry(Outcome outcome, boolean repeatable, int tries, Duration timeLeft) {
            return tries < 2 && !(outcome instanceof Outcome.Answered) ? Optional.of(Duration.ZERO) : Optional.empty();
        }
    }
}
