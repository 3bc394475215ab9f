package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
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

    /** Guards against a slot that is granted to a statement which is answered in the same step, and ends the step. */
    @Test
    void should_answer_every_statement_when_a_slot_is_granted_while_the_answers_are_due() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        try (ScriptedDatabase primary = new ScriptedDatabase(line -> replyAfter(released, line));
                EngineFixture fixture =
                        new EngineFixture().withPrimary("db-1", primary, 1, 1).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller running = fixture.newCaller().connect();
                EngineFixture.TestCaller waiting = fixture.newCaller().connect();
                EngineFixture.TestCaller leaving = fixture.newCaller().connect();
                EngineFixture.TestCaller last = fixture.newCaller().connect()) {
            for (EngineFixture.TestCaller caller : List.of(running, waiting, leaving, last)) {
                assertThat(caller.readLine(), is("accepted"));
            }
            running.send("write r1");
            primary.awaitLine("run r1");
            waiting.send("write r2");
            fixture.awaitOutstandingStatements("db-1", 2);
            last.send("write r4");
            fixture.awaitOutstandingStatements("db-1", 3);
            fixture.runOnLoop(() -> {
                disconnectAndWait(leaving);
                fixture.startDraining(Duration.ZERO);
            });
            assertThat(running.readLine(), is("failed IN_DOUBT"));
            assertThat(waiting.readLine(), is("failed BUSY"));
            assertThat(last.readLine(), is("failed BUSY"));
            released.countDown();
        }
    }

    private static void disconnectAndWait(EngineFixture.TestCaller caller) {
        try {
            caller.disconnect();
            TimeUnit.MILLISECONDS.sleep(50);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
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
