package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.service.Consistency;
import org.junit.jupiter.api.Test;

/**
 * Guards against a command that counts as never carried out although a database received it: a replica may resume
 * seconds later, while another database is being promoted.
 */
class TrafficEngine_sendCommand_Test {
    private static final Duration TIMEOUT = Duration.ofMillis(300);
    private static final BackendCommand COMMAND = new BackendCommand.ResumeReceiving();

    @Test
    void should_not_report_an_unanswered_command_as_not_sent() throws Exception {
        try (ScriptedDatabase database = new ScriptedDatabase(TrafficEngine_sendCommand_Test::answerOpening);
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", database, true).configure(Consistency.PRIMARY)) {
            Throwable failure = fixture.failureOfCommand("db-1", COMMAND, TIMEOUT);
            assertThat(failure, is(instanceOf(IllegalStateException.class)));
            assertThat(failure, is(not(instanceOf(CommandNotSentException.class))));
        }
    }

    @Test
    void should_not_report_a_command_as_not_sent_when_its_connection_is_lost() throws Exception {
        try (ScriptedDatabase database = new ScriptedDatabase(TrafficEngine_sendCommand_Test::answerOpening);
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", database, true).configure(Consistency.PRIMARY)) {
            CompletableFuture<Throwable> failure = fixture.startCommand("db-1", COMMAND, EngineFixture.REPLY_TIMEOUT);
            database.awaitLine("resumereceiving");
            database.dropConnections();
            assertThat(
                    failure.get(EngineFixture.REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS),
                    is(not(instanceOf(CommandNotSentException.class))));
        }
    }

    @Test
    void should_report_a_command_to_a_database_that_refuses_connections_as_not_sent() throws Exception {
        ScriptedDatabase database = new ScriptedDatabase(TrafficEngine_sendCommand_Test::answerOpening);
        database.close();
        try (EngineFixture fixture =
                new EngineFixture().withDatabase("db-1", database, true).configure(Consistency.PRIMARY)) {
            Throwable failure = fixture.failureOfCommand("db-1", COMMAND, TIMEOUT);
            assertThat(failure, is(instanceOf(CommandNotSentException.class)));
        }
    }

    @Test
    void should_report_a_command_to_an_unknown_database_as_not_sent() throws Exception {
        try (EngineFixture fixture = new EngineFixture().configure(Consistency.PRIMARY)) {
            Throwable failure = fixture.failureOfCommand("db-9", COMMAND, TIMEOUT);
            assertThat(failure, is(instanceOf(CommandNotSentException.class)));
        }
    }

    /** Guards against a promotion that takes a database for unreachable because the databases of any group changed. */
    @Test
    void should_send_a_command_to_a_database_that_left_although_the_databases_change() throws Exception {
        CountDownLatch opening = new CountDownLatch(1);
        try (ScriptedDatabase database = new ScriptedDatabase(line -> {
                    if (line.startsWith("open")) {
                        await(opening);
                    }
                    return Optional.of("ok");
                });
                EngineFixture fixture =
                        new EngineFixture().withFormerDatabase("db-1", database).configure(Consistency.PRIMARY)) {
            CompletableFuture<Throwable> failure = fixture.startCommand("db-1", COMMAND, EngineFixture.REPLY_TIMEOUT);
            fixture.configure(Consistency.PRIMARY);
            opening.countDown();
            database.awaitLine("resumereceiving");
            assertThat(failure.get(EngineFixture.REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS), is(nullValue()));
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Optional<String> answerOpening(String line) {
        return line.startsWith("resume") ? Optional.empty() : Optional.of("ok");
    }
}
