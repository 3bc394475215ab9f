package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.geraniumproxy.core.service.Consistency;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against connections and statements that an update of the databases loses. */
class TrafficEngine_update_Test {
    private final Map<String, CountDownLatch> held = Map.of(
            "open db-1 troupe", new CountDownLatch(1),
            "run r1", new CountDownLatch(1),
            "run r2", new CountDownLatch(1),
            "run r3", new CountDownLatch(1),
            "run r4", new CountDownLatch(1));
    private final List<EngineFixture.TestCaller> callers = new ArrayList<>();

    @AfterEach
    void closeCallers() throws Exception {
        held.values().forEach(CountDownLatch::countDown);
        for (EngineFixture.TestCaller caller : callers) {
            caller.close();
        }
    }

    /** Guards against connections that are opened to a database because it leaves. */
    @Test
    void should_open_no_connection_to_a_database_that_leaves_while_statements_wait_for_it() throws Exception {
        try (ScriptedDatabase leaving = new ScriptedDatabase(this::respond);
                ScriptedDatabase remaining = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture = new EngineFixture()) {
            holdIdleConnectionsAndQueuedStatements(fixture, leaving);
            fixture.withoutDatabase("db-1")
                    .withDatabase("db-2", remaining, true)
                    .configure(Consistency.PRIMARY);
            assertThat(callers.get(2).readLine(), is("completed signed"));
            assertThat(callers.get(3).readLine(), is("completed signed"));
            assertThat(remaining.receivedLines(), hasItems("run r5", "run r6"));
            answer("run r1", "run r2");
            assertThat(callers.get(0).readLine(), is("completed signed"));
            assertThat(callers.get(1).readLine(), is("completed signed"));
            assertThat(
                    leaving.receivedLines().stream()
                            .filter(line -> line.startsWith("open"))
                            .count(),
                    is(4L));
            fixture.awaitUnused("db-1");
        }
    }

    /** Guards against a connection in an evacuated failure domain that stays in use until its statement times out. */
    @Test
    void should_close_connections_in_use_when_the_evacuation_of_their_failure_domain_ends() throws Exception {
        try (ScriptedDatabase evacuated =
                        new ScriptedDatabase(line -> line.startsWith("run") ? Optional.empty() : Optional.of("ok"));
                ScriptedDatabase remaining = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture = new EngineFixture()
                        .withDatabase("db-1", evacuated, true)
                        .configure(Consistency.PRIMARY)) {
            EngineFixture.TestCaller caller = newCaller(fixture).send("read r1");
            evacuated.awaitLine("run r1");
            fixture.withDatabase("db-2", remaining, true).endEvacuationOf("db-1");
            fixture.awaitUnused("db-1");
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(remaining.receivedLines(), hasItems("run r1"));
        }
    }

    /** Guards against a connection to a database that left, which stays open until the next update. */
    @Test
    void should_close_a_connection_that_opens_after_its_database_left() throws Exception {
        try (ScriptedDatabase leaving = new ScriptedDatabase(this::respond);
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", leaving, true).configure(Consistency.PRIMARY)) {
            newCaller(fixture).send("read r1");
            leaving.awaitLine("open db-1 troupe");
            fixture.withoutDatabase("db-1").configure(Consistency.PRIMARY);
            answer("open db-1 troupe");
            fixture.awaitUnused("db-1");
        }
    }

    /** Guards against granting a connection that the same update closes; the statement would wait for its timeout. */
    @Test
    void should_run_waiting_statements_on_new_connections_when_their_database_restarted_with_more_slots()
            throws Exception {
        try (ScriptedDatabase restarted = new ScriptedDatabase(this::respond);
                EngineFixture fixture = new EngineFixture()) {
            holdIdleConnectionsAndQueuedStatements(fixture, restarted);
            fixture.withPrimary("db-1", restarted, 4, 2).configure(Consistency.PRIMARY);
            assertThat(callers.get(2).readLine(), is("completed signed"));
            assertThat(callers.get(3).readLine(), is("completed signed"));
        }
    }

    /** Leaves r1 and r2 running on the database's two slots, two idle connections, and r5 and r6 waiting. */
    private void holdIdleConnectionsAndQueuedStatements(EngineFixture fixture, ScriptedDatabase database)
            throws Exception {
        answer("open db-1 troupe");
        fixture.withPrimary("db-1", database, 4, 1).configure(Consistency.PRIMARY);
        for (int number = 1; number <= 4; number++) {
            newCaller(fixture).send("read r" + number);
            database.awaitLine("run r" + number);
        }
        answer("run r3", "run r4");
        assertThat(callers.get(2).readLine(), is("completed signed"));
        assertThat(callers.get(3).readLine(), is("completed signed"));
        fixture.withPrimary("db-1", database, 2, 1).configure(Consistency.PRIMARY);
        callers.get(2).send("read r5");
        callers.get(3).send("read r6");
        fixture.awaitOutstandingStatements("db-1", 4);
    }

    private EngineFixture.TestCaller newCaller(EngineFixture fixture) throws Exception {
        EngineFixture.TestCaller caller = fixture.newCaller().connect();
        callers.add(caller);
        assertThat(caller.readLine(), is("accepted"));
        return caller;
    }

    private void answer(String... lines) {
        for (String line : lines) {
            held.get(line).countDown();
        }
    }

    private Optional<String> respond(String line) {
        CountDownLatch latch = held.get(line);
        if (latch != null) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return Optional.empty();
            }
        }
        return Optional.of("ok");
    }
}
