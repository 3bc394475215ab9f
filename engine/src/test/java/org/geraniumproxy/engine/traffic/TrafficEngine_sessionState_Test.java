package org.geraniumproxy.engine.traffic;

import java.util.SplittableRandom;
import org.geraniumproxy.core.service.Consistency;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against statements that run with the variables or prepared statements of another session. */
class TrafficEngine_sessionState_Test {
    /** Guards against a transaction that synchronizes its connection from the state before its own commands. */
    @Test
    void should_apply_a_variable_that_is_set_inside_a_transaction() throws Exception {
        try (SessionStateDatabase database = new SessionStateDatabase();
                EngineFixture fixture = fixture(database)) {
            try (SessionStateCaller former = new SessionStateCaller(fixture, database)) {
                former.set("zone", "lima");
                former.prepare("s1", "q2c");
                former.execute("s1");
            }
            try (SessionStateCaller session = new SessionStateCaller(fixture, database)) {
                session.send("begin");
                session.run("read");
                session.set("zone", "lima");
                session.run("read");
                session.prepare("s9", "q2c");
                session.execute("s9");
                session.run("commit");
                session.run("read");
            }
            try (SessionStateCaller next = new SessionStateCaller(fixture, database)) {
                next.set("zone", "lima");
                next.run("write");
            }
        }
    }

    /** Guards against a connection whose variables a database takes back with a transaction. */
    @Test
    void should_not_reuse_the_state_of_a_transaction_that_was_rolled_back() throws Exception {
        try (SessionStateDatabase database = new SessionStateDatabase();
                EngineFixture fixture = fixture(database);
                SessionStateCaller session = new SessionStateCaller(fixture, database)) {
            session.set("zone", "lima");
            session.send("begin");
            session.run("read");
            session.set("zone", "cusco");
            session.run("read");
            session.send("abort");
            session.run("read");
        }
    }

    /** Guards against values and names that are lost when a transaction reaches the limit of prepared statements. */
    @Test
    void should_keep_the_state_of_a_transaction_that_uses_more_statements_than_a_connection_keeps() throws Exception {
        try (SessionStateDatabase database = new SessionStateDatabase();
                EngineFixture fixture = fixture(database);
                SessionStateCaller session = new SessionStateCaller(fixture, database)) {
            session.set("zone", "lima");
            session.send("begin");
            for (int number = 0; number < 140; number++) {
                session.prepare("s" + number, "q" + number);
                session.execute("s" + number);
                session.execute("s" + number / 2);
            }
            session.run("commit");
        }
    }

    /** Guards against a second copy of a connection's state: sessions take turns on few connections. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void should_run_each_statement_with_the_state_of_its_session(long seed) throws Exception {
        try (SessionStateDatabase database = new SessionStateDatabase();
                EngineFixture fixture = fixture(database)) {
            SessionStateCaller.takeTurns(fixture, database, new SplittableRandom(seed));
        }
    }

    private static EngineFixture fixture(SessionStateDatabase database) throws Exception {
        return new EngineFixture()
                .withDatabase("db-1", database.database(), true)
                .configure(Consistency.PRIMARY);
    }
}
