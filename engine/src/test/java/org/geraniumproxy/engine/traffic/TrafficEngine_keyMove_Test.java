package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.service.Consistency;
import org.junit.jupiter.api.Test;

/** Guards against statements that run on a connection of the former customer of a key that has moved (review/8). */
class TrafficEngine_keyMove_Test {
    private static final CustomerName JUROR = CustomerName.of("juror");

    @Test
    void should_roll_a_transaction_back_and_run_the_next_one_for_the_new_customer() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(TrafficEngine_keyMove_Test::respond);
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            assertThat(caller.send("begin b1").readLine(), is("completed -"));
            assertThat(caller.send("write t1").readLine(), is("completed signed"));

            fixture.moveKeyTo(JUROR);
            assertThat(caller.send("commit c1").readLine(), is("failed ROLLED_BACK"));
            fixture.awaitLogLine("request=c1 decision=\"key moved to another customer\"");
            assertThat(caller.send("begin b2").readLine(), is("completed -"));
            assertThat(caller.send("write t2").readLine(), is("completed signed"));
            assertThat(caller.send("commit c2").readLine(), is("completed signed"));

            assertThat(primary.receivedLines(), hasItem("open db-1 juror"));
            assertThat(primary.receivedLines(), hasItem("rollback"));
            assertThat(primary.receivedLines(), not(hasItem("commit c1")));
            fixture.awaitOutstandingStatements("db-1", 0);
        }
    }

    @Test
    void should_run_a_statement_for_the_new_customer_whose_key_moves_while_it_waits_for_a_connection()
            throws Exception {
        CountDownLatch opening = new CountDownLatch(1);
        try (ScriptedDatabase primary = new ScriptedDatabase(line -> {
                    awaitIfOpened("open db-1 troupe", line, opening);
                    return respond(line);
                });
                EngineFixture fixture =
                        new EngineFixture().withDatabase("db-1", primary, true).configure(Consistency.PRIMARY);
                EngineFixture.TestCaller caller = fixture.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r1");
            primary.awaitLine("open db-1 troupe");

            fixture.moveKeyTo(JUROR);
            opening.countDown();
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(primary.receivedLines(), hasItem("open db-1 juror"));
            fixture.awaitOutstandingStatements("db-1", 0);
        }
    }

    private static void awaitIfOpened(String held, String line, CountDownLatch latch) {
        if (line.equals(held)) {
            try {
                latch.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static Optional<String> respond(String line) {
        return Optional.of(line.equals("begin") || line.startsWith("run t") ? "open" : "ok");
    }
}
