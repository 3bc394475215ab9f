package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import java.util.Optional;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.service.Consistency;
import org.junit.jupiter.api.Test;

/** Guards against statements that wait for a later callback although their next step is already known. */
class TrafficEngine_serve_Test {
    @Test
    void should_answer_a_read_from_the_primary() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            assertThat(caller.send("read r1").readLine(), is("completed signed"));
            assertThat(primary.receivedLines().getFirst(), is("open db-1 troupe"));
            assertThat(primary.receivedLines(), hasItem("run r1"));
        }
    }

    /** Guards against rejecting callers of a node that has not received its configuration yet. */
    @Test
    void should_hold_a_connection_until_a_configuration_is_known() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture = new EngineFixture().withDatabase("db-1", primary, true);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            fixture.configure(Consistency.PRIMARY);
            assertThat(caller.readLine(), is("accepted"));
        }
    }

    /** Guards against a statement that waits for the next tick after its database refused the connection. */
    @Test
    void should_retry_placement_when_the_database_refuses_the_connection() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("WRONG_DATABASE"));
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r1");
            fixture.awaitLogLine("request=r1 decision=\"no slot\"");
        }
    }

    /** Guards against reporting a write as failed although the database may have executed it. */
    @Test
    void should_report_a_write_in_doubt_when_its_connection_is_lost() throws Exception {
        try (ScriptedDatabase primary =
                        new ScriptedDatabase(line -> line.equals("run r1") ? Optional.empty() : Optional.of("ok"));
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r1");
            primary.awaitLine("run r1");
            primary.dropConnections();
            assertThat(caller.readLine(), is("failed IN_DOUBT"));
        }
    }

    /** Guards against giving a connection with an unfinished statement to the next caller. */
    @Test
    void should_not_reuse_a_connection_whose_caller_disconnected_during_a_statement() throws Exception {
        try (ScriptedDatabase primary =
                        new ScriptedDatabase(line -> line.equals("run r1") ? Optional.empty() : Optional.of("ok"));
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller disconnecting = fixture.newCaller().connect();
                EngineFixture.TestCaller remaining = fixture.newCaller().connect()) {
            assertThat(disconnecting.readLine(), is("accepted"));
            assertThat(remaining.readLine(), is("accepted"));
            disconnecting.send("write r1");
            primary.awaitLine("run r1");
            disconnecting.disconnect();
            assertThat(remaining.send("read r2").readLine(), is("completed signed"));
            assertThat(
                    primary.receivedLines().stream()
                            .filter(line -> line.startsWith("open"))
                            .count(),
                    is(2L));
        }
    }

    @Test
    void should_close_a_connection_whose_first_message_is_not_connect() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller caller = fixture.newCaller()) {
            assertThat(caller.send("read r1").readLine(), is("rejected MALFORMED"));
            assertThat(caller.readLine(), is(nullValue()));
        }
    }

    /** Guards against the texts of statements and the keys of callers in the log. */
    @Test
    void should_not_log_the_content_of_a_message_that_is_not_valid_in_its_state() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller early = fixture.newCaller();
                EngineFixture.TestCaller twice = fixture.newCaller().connect()) {
            assertThat(early.send("read r9secret").readLine(), is("rejected MALFORMED"));
            assertThat(twice.readLine(), is("accepted"));
            assertThat(twice.connect().readLine(), is("rejected MALFORMED"));
            fixture.awaitLogLine("the caller is connected already");
            assertThat(fixture.logText(), not(containsString("secret")));
        }
    }

    /** Guards against a promotion that cannot query a database that no longer takes statements. */
    @Test
    void should_send_commands_but_no_statements_to_a_former_database() throws Exception {
        try (ScriptedDatabase former = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture fixture =
                        new EngineFixture().withFormerDatabase("db-1", former).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r1");
            fixture.sendCommand("db-1", new BackendCommand.ReadStatus());
            assertThat(former.receivedLines(), hasItem("readstatus"));
            assertThat(former.receivedLines(), not(hasItem("run r1")));
        }
    }
}
