package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.limit.TokenAnswer;
import org.geraniumproxy.core.limit.TokenRequest;
import org.geraniumproxy.core.service.Consistency;
import org.junit.jupiter.api.Test;

/**
 * Guards against statements that run without a token of the VM that owns the rate, or are lost while they wait for it.
 */
class TrafficEngine_borrow_Test {
    private static final VmName SELF = VmName.of("vm-1");

    private final BlockingQueue<TokenRequest> requests = new LinkedBlockingQueue<>();
    private volatile Runnable onRequest = () -> {};

    @Test
    void should_run_a_statement_when_the_owner_grants_a_token() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture = fixture(primary);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("read r1");
            TokenRequest request = nextRequest();
            assertThat(request.needed(), is(1));
            assertThat(primary.receivedLines(), not(hasItem("run r1")));
            fixture.receive(granted(request, 1));
            assertThat(caller.readLine(), is("completed signed"));
        }
    }

    @Test
    void should_refuse_a_statement_when_the_owner_has_no_token() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture = fixture(primary);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r1");
            fixture.receive(granted(nextRequest(), 0));
            assertThat(caller.readLine(), is("failed BUSY"));
            fixture.awaitLogLine("request=r1 decision=\"over the rate\" cause=\"owner");
            assertThat(primary.receivedLines(), not(hasItem("run r1")));
        }
    }

    /** Guards against a statement that waits for ever because a datagram was lost. */
    @Test
    void should_repeat_the_request_and_then_use_the_equal_part_when_no_answer_arrives() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture = fixture(primary);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("read r1");
            TokenRequest first = nextRequest();
            assertThat(nextRequest(), is(first));
            assertThat(caller.readLine(), is("completed signed"));
        }
    }

    /** Guards against a statement that is held until its timeout because the answer it waits for is ignored. */
    @Test
    void should_refuse_a_waiting_statement_at_once_when_its_customer_is_removed() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture = fixture(primary);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            onRequest = () -> fixture.removeCustomerLater(Consistency.PRIMARY, ownedByAnother());
            caller.send("read r1");
            assertThat(caller.readLine(), is("failed BUSY"));
            fixture.awaitLogLine("cause=\"the customer was removed from the configuration\"");
            assertThat(primary.receivedLines(), not(hasItem("run r1")));
        }
    }

    /**
     * Guards against an identifier that the owner has answered: it repeats its last answer to such a request and takes
     * no token from the rate.
     */
    @Test
    void should_not_reuse_request_identifiers_when_a_customer_is_removed_and_added_again() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture = fixture(primary);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("read r1");
            TokenRequest first = nextRequest();
            fixture.receive(granted(first, 1));
            assertThat(caller.readLine(), is("completed signed"));
            fixture.removeCustomerLater(Consistency.PRIMARY, ownedByAnother());
            fixture.configure(Consistency.PRIMARY, ownedByAnother());
            requests.clear();
            caller.send("read r2");
            assertThat(nextRequest().requestId(), is(greaterThan(first.requestId())));
        }
    }

    private EngineFixture fixture(ScriptedDatabase primary) throws Exception {
        RateOwnership ownership = ownedByAnother();
        return new EngineFixture(new RecordingSender())
                .withDatabase("db-1", primary, true)
                .configure(Consistency.PRIMARY, ownership);
    }

    private TokenRequest nextRequest() throws InterruptedException {
        TokenRequest request = requests.poll(EngineFixture.REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        if (request == null) {
            throw new AssertionError("no token was requested");
        }
        return request;
    }

    private static TokenAnswer granted(TokenRequest request, int tokens) {
        return new TokenAnswer.Granted(
                request.customer(), request.requestId(), tokens, Duration.ZERO, Duration.ofMillis(120));
    }

    /** Returns members of which another one owns the rate of the fixture's customer. */
    private static RateOwnership ownedByAnother() {
        int number = 2;
        RateOwnership candidate = members(VmName.of("vm-" + number));
        while (candidate.holders(EngineFixture.CUSTOMER, 1).getFirst().equals(SELF)) {
            number++;
            candidate = members(VmName.of("vm-" + number));
        }
        return candidate;
    }

    private static RateOwnership members(VmName other) {
        return new RateOwnership(SELF, Set.of(SELF, other), Map.of(other, "127.0.0.1:1"), Set.of(), false);
    }

    private final class RecordingSender extends EngineFixture.NoOpSender {
        @Override
        public void send(TokenRequest request, VmName owner, String address) {
            requests.add(request);
            onRequest.run();
        }
    }
}
