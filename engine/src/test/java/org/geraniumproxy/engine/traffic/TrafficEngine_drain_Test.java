package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.service.Consistency;
import org.junit.jupiter.api.Test;

/** Guards against a connection that is closed at a stop although its caller has sent a message that got no answer. */
class TrafficEngine_drain_Test {
    @Test
    void should_answer_the_statements_that_a_caller_has_pipelined() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        try (ScriptedDatabase primary = new ScriptedDatabase(line -> replyAfter(released, line));
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r1\nwrite r2\nwrite r3");
            primary.awaitLine("run r1");
            fixture.runOnLoop(fixture::startDraining);
            released.countDown();
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(caller.readLine(), is(nullValue()));
        }
    }

    @Test
    void should_refuse_a_caller_that_waits_for_the_first_configuration() throws Exception {
        try (EngineFixture fixture = new EngineFixture();
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            fixture.awaitSessions(1).runOnLoop(fixture::startDraining);
            assertThat(caller.readLine(), is("rejected BUSY"));
            assertThat(caller.readLine(), is(nullValue()));
        }
    }

    @Test
    void should_answer_a_statement_that_arrived_just_before_the_session_would_be_closed() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            assertThat(caller.send("write r1").readLine(), is("completed signed"));
            fixture.runOnLoop(() -> {
                sendAndWaitForArrival(caller, "write r2");
                fixture.startDraining();
            });
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(caller.readLine(), is(nullValue()));
        }
    }

    private static Optional<String> replyAfter(CountDownLatch released, String line) {
        try {
            if (line.equals("run r1")
                    && !released.await(EngineFixture.REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                return Optional.empty();
            }
            return Optional.of("ok");
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void sendAndWaitForArrival(EngineFixture.TestCaller caller, String line) {
        try {
            caller.send(line);
            TimeUnit.MILLISECONDS.sleep(50);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
