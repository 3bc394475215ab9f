package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.InetAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.pool.ConnectionOwnership;
import org.geraniumproxy.core.pool.OwnerSelection;
import org.geraniumproxy.core.service.Consistency;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against statements that are lost, run twice or get a false answer when they use the database connection of
 * another VM, and against connections of each VM where a few owners suffice.
 */
class TrafficEngine_relay_Test {
    /** Fewer per VM than the two slots, and several for each owner. */
    private static final int CONNECTIONS = 12;

    private static final VmName NONE = VmName.of("none");

    private final Set<VmName> members = memberNames();
    /** This VM owns the rate of the customer, so that it borrows no token. */
    private final VmName entryVm = new RateOwnership(NONE, members, Map.of(), Set.of(), true)
            .holders(EngineFixture.CUSTOMER, 1000)
            .getFirst();

    /** A database whose connections other VMs own. */
    private final String database = IntStream.rangeClosed(1, 100)
            .mapToObj(number -> "db-" + number)
            .filter(name -> !owners(name).contains(entryVm))
            .findFirst()
            .orElseThrow();

    private final List<VmName> owners = owners(database);
    private final Map<VmName, String> addresses = new HashMap<>();

    @Test
    void should_run_the_statements_of_all_sessions_on_the_connection_of_the_owner() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture owner = owner(primary, 0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller first = entry.newCaller().connect();
                EngineFixture.TestCaller second = entry.newCaller().connect()) {
            assertThat(first.readLine(), is("accepted"));
            assertThat(second.readLine(), is("accepted"));
            for (int round = 0; round < 3; round++) {
                first.send("write first" + round);
                assertThat(first.readLine(), is("completed signed"));
                second.send("read second" + round);
                assertThat(second.readLine(), is("completed signed"));
            }
            assertThat(owners, not(hasItem(entryVm)));
            assertThat(opened(primary), is(1L));
            assertThat(Collections.frequency(primary.receivedLines(), "run first0"), is(1));
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a second run of a statement whose outcome is unknown, and against an answer "not run". */
    @Test
    void should_tell_that_the_outcome_is_unknown_when_the_owner_ends_while_a_write_runs() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(TrafficEngine_relay_Test::answerUnlessLost);
                EngineFixture owner = owner(primary, 0);
                FaultyLink link = linkTo(0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write lost");
            primary.awaitLine("run lost");
            link.reset();
            assertThat(caller.readLine(), is("failed IN_DOUBT"));
            caller.send("write next");
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(Collections.frequency(primary.receivedLines(), "run lost"), is(1));
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a statement that waits for a suspended owner until its own timeout. */
    @Test
    void should_use_a_connection_of_its_own_when_no_owner_responds() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture owner = owner(primary, 0);
                FaultyLink link = linkTo(0);
                EngineFixture entry = entryVm(primary, OwnerSelection.RESPONSE_MARGIN);
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            link.dropRequests();
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r1");
            assertThat(caller.readLine(), is("completed signed"));
            entry.awaitLogLine("owner does not respond");
            entry.awaitLogLine("connection used directly");
            assertThat(owner.logText(), not(containsString("connection opened")));
            assertThat(Collections.frequency(primary.receivedLines(), "run r1"), is(1));
        }
    }

    /** Guards against a session that waits for replies that can't arrive, and against a second run. */
    @Test
    void should_give_up_an_owner_whose_answers_do_not_arrive() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture owner = owner(primary, 0);
                FaultyLink link = linkTo(0);
                EngineFixture entry =
                        entryVm(primary, OwnerSelection.RESPONSE_MARGIN).startTicks();
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r0");
            assertThat(caller.readLine(), is("completed signed"));
            link.dropResponses();
            caller.send("write cut");
            // The request for a slot gets no response, and nothing was sent: a connection of this VM is used.
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(Collections.frequency(primary.receivedLines(), "run cut"), is(1));
            caller.send("write r2");
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(Collections.frequency(primary.receivedLines(), "run r2"), is(1));
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a session that waits for replies that can't arrive, and against a second run. */
    @Test
    void should_tell_that_the_outcome_is_unknown_when_the_answer_of_a_running_write_is_cut_off() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedDatabase primary = new ScriptedDatabase(line -> answerAfter(line, answer));
                EngineFixture owner = owner(primary, 0);
                FaultyLink link = linkTo(0);
                EngineFixture entry = entryVm(primary).startTicks();
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write held");
            primary.awaitLine("run held");
            link.dropResponses();
            answer.countDown();
            assertThat(caller.readLine(), is("failed IN_DOUBT"));
            entry.awaitLogLine("owner lost");
            assertThat(Collections.frequency(primary.receivedLines(), "run held"), is(1));
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a slot that a transaction occupies between its statements, and against another connection. */
    @Test
    void should_run_a_transaction_on_one_connection_and_roll_it_back_when_the_caller_leaves() throws Exception {
        try (ScriptedDatabase primary =
                        new ScriptedDatabase(line -> Optional.of(isInTransaction(line) ? "open" : "ok"));
                EngineFixture owner = owner(primary, 0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect();
                EngineFixture.TestCaller other = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            assertThat(other.readLine(), is("accepted"));
            for (String line : List.of("begin b1", "write t1", "write t2")) {
                caller.send(line);
                assertThat(caller.readLine().startsWith("completed"), is(true));
                owner.awaitOutstandingStatements(database, 0);
            }
            other.send("write o1");
            assertThat(other.readLine(), is("completed signed"));
            assertThat(opened(primary), is(2L));
            caller.send("commit c1");
            assertThat(caller.readLine(), is("completed signed"));
            caller.send("begin b2");
            assertThat(caller.readLine(), is("completed -"));
            caller.send("write t3");
            assertThat(caller.readLine(), is("completed signed"));
            caller.disconnect();
            primary.awaitLine("rollback");
            owner.awaitOutstandingStatements(database, 0);
            assertThat(opened(primary), is(2L));
        }
    }

    /** Guards against a lent connection of the former customer of a key; the owner does not know of the move yet. */
    @Test
    void should_use_no_connection_of_the_former_customer_of_a_key() throws Exception {
        CustomerName juror = IntStream.rangeClosed(1, 100)
                .mapToObj(number -> CustomerName.of("juror-" + number))
                .filter(name -> new RateOwnership(NONE, members, Map.of(), Set.of(), true)
                        .holders(name, 1000)
                        .getFirst()
                        .equals(entryVm))
                .findFirst()
                .orElseThrow();
        try (ScriptedDatabase primary =
                        new ScriptedDatabase(line -> Optional.of(isInTransaction(line) ? "open" : "ok"));
                EngineFixture owner = owner(primary, 0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            assertThat(caller.send("begin b1").readLine(), is("completed -"));
            assertThat(caller.send("write t1").readLine(), is("completed signed"));
            entry.moveKeyTo(juror);
            assertThat(caller.send("commit c1").readLine(), is("failed ROLLED_BACK"));
            assertThat(caller.send("write w2").readLine(), is("completed signed"));
            primary.awaitLine("rollback").awaitLine("open " + database + " " + juror);
            assertThat(primary.receivedLines().contains("commit c1"), is(false));
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    private static boolean isInTransaction(String line) {
        return line.equals("begin") || line.startsWith("run t");
    }

    /** Guards against a statement that runs with the variables of another session, or without its own. */
    @Test
    void should_tell_the_state_of_a_connection_to_the_sessions_that_use_it_in_turn() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture owner = owner(primary, 0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect();
                EngineFixture.TestCaller other = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            assertThat(other.readLine(), is("accepted"));
            caller.send("set s1 value");
            assertThat(caller.readLine(), is("completed -"));
            for (EngineFixture.TestCaller next : List.of(caller, caller, other, other, caller)) {
                next.send("write w");
                assertThat(next.readLine(), is("completed signed"));
            }
            List<String> commands = primary.receivedLines().stream()
                    .filter(line -> !line.startsWith("open "))
                    .toList();
            assertThat(
                    commands,
                    contains(
                            "setvariable name value",
                            "run w",
                            "run w",
                            "discard",
                            "run w",
                            "run w",
                            "setvariable name value",
                            "run w"));
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a lent connection whose state is that before the commands of its transaction. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void should_run_each_statement_with_the_state_of_its_session(long seed) throws Exception {
        try (SessionStateDatabase states = new SessionStateDatabase();
                EngineFixture owner = owner(states.database(), 0);
                EngineFixture entry = entryVm(states.database())) {
            SessionStateCaller.takeTurns(entry, states, new SplittableRandom(seed));
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a failed first owner that takes the connections of the second one out of use. */
    @Test
    void should_use_the_second_owner_while_the_first_one_restarts() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture first = owner(primary, 0);
                FaultyLink link = linkTo(0);
                EngineFixture second = owner(primary, 1);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r1");
            assertThat(caller.readLine(), is("completed signed"));
            link.disconnect();
            caller.send("write r2");
            assertThat(caller.readLine(), is("completed signed"));
            caller.send("write r3");
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(opened(primary), is(2L));
            assertThat(entry.logText(), not(containsString("connection used directly")));
            first.awaitOutstandingStatements(database, 0);
            second.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a stop that cuts the statements of other VMs, or goes on to lend. */
    @Test
    void should_finish_a_running_statement_and_decline_new_ones_when_the_owner_stops() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedDatabase primary = new ScriptedDatabase(line -> answerAfter(line, answer));
                EngineFixture owner = owner(primary, 0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect();
                EngineFixture.TestCaller other = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            assertThat(other.readLine(), is("accepted"));
            caller.send("write held");
            primary.awaitLine("run held");
            CompletableFuture<Void> ended = owner.stop(ownership(owners.get(0)));
            other.send("write r2");
            assertThat(other.readLine(), is("completed signed"));
            entry.awaitLogLine("owner declined");
            assertThat(ended.isDone(), is(false));
            answer.countDown();
            assertThat(caller.readLine(), is("completed signed"));
            ended.get(EngineFixture.REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        }
    }

    /** Guards against an entry VM whose stop cuts a statement at the owner. */
    @Test
    void should_finish_a_running_statement_when_the_entry_vm_stops() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedDatabase primary = new ScriptedDatabase(line -> answerAfter(line, answer));
                EngineFixture owner = owner(primary, 0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write held");
            primary.awaitLine("run held");
            CompletableFuture<Void> ended = entry.stop(ownership(entryVm));
            answer.countDown();
            assertThat(caller.readLine(), is("completed signed"));
            ended.get(EngineFixture.REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a channel in use that is cut by a change of the members, and a former owner that lends on. */
    @Test
    void should_drain_the_channels_of_a_vm_that_is_no_longer_an_owner() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        try (ScriptedDatabase primary = new ScriptedDatabase(line -> answerAfter(line, answer));
                EngineFixture owner = owner(primary, 0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write held");
            primary.awaitLine("run held");
            Set<VmName> others = new HashSet<>(members);
            others.remove(owners.get(0));
            owner.applyMembers(new RateOwnership(owners.get(0), others, addresses, Set.of(), true));
            answer.countDown();
            assertThat(caller.readLine(), is("completed signed"));
            caller.send("write r2");
            assertThat(caller.readLine(), is("completed signed"));
            entry.awaitLogLine("owner declined");
        }
    }

    /** Guards against an answer "not run" for a write that the database may have run. */
    @Test
    void should_tell_that_the_outcome_is_unknown_when_the_database_closes_the_connection() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(TrafficEngine_relay_Test::answerUnlessLost);
                EngineFixture owner = owner(primary, 0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write lost");
            primary.awaitLine("run lost").dropConnections();
            assertThat(caller.readLine(), is("failed IN_DOUBT"));
            caller.send("write r2");
            assertThat(caller.readLine(), is("completed signed"));
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a malformed frame that ends the thread of the owner, or other streams. */
    @Test
    void should_close_only_the_stream_that_sent_a_malformed_frame() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture owner = owner(primary, 0);
                EngineFixture entry = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect()) {
            assertThat(caller.readLine(), is("accepted"));
            caller.send("write r1");
            assertThat(caller.readLine(), is("completed signed"));
            String address = addresses.get(owners.get(0));
            int port = Integer.parseInt(address.substring(address.indexOf(':') + 1)) + 1;
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout((int) EngineFixture.REPLY_TIMEOUT.toMillis());
                socket.getOutputStream().write(new byte[] {3, 99, 1, 1});
                assertThat(socket.getInputStream().read(), is(-1));
            }
            caller.send("write r2");
            assertThat(caller.readLine(), is("completed signed"));
            assertThat(opened(primary), is(1L));
            owner.awaitOutstandingStatements(database, 0);
        }
    }

    /** Guards against a refusal by one of two VMs that have read different registrations and both lend. */
    @Test
    void should_run_statements_at_two_vms_that_both_believe_to_own_the_connections() throws Exception {
        try (ScriptedDatabase primary = new ScriptedDatabase(_ -> Optional.of("ok"));
                EngineFixture first = owner(primary, 0);
                EngineFixture second = owner(primary, 1);
                EngineFixture entry = entryVm(primary);
                EngineFixture other = entryVm(primary);
                EngineFixture.TestCaller caller = entry.newCaller().connect();
                EngineFixture.TestCaller otherCaller = other.newCaller().connect()) {
            Set<VmName> withoutFirst = new HashSet<>(members);
            withoutFirst.remove(owners.get(0));
            second.applyMembers(new RateOwnership(owners.get(1), withoutFirst, addresses, Set.of(), true));
            other.applyMembers(new RateOwnership(entryVm, withoutFirst, addresses, Set.of(), true));
            assertThat(caller.readLine(), is("accepted"));
            assertThat(otherCaller.readLine(), is("accepted"));
            caller.send("write r1");
            assertThat(caller.readLine(), is("completed signed"));
            otherCaller.send("write r2");
            assertThat(otherCaller.readLine(), is("completed signed"));
            assertThat(opened(primary), is(2L));
            assertThat(other.logText(), not(containsString("owner declined")));
            first.awaitOutstandingStatements(database, 0);
        }
    }

    private static Optional<String> answerUnlessLost(String line) {
        return line.equals("run lost") ? Optional.empty() : Optional.of("ok");
    }

    private static Optional<String> answerAfter(String line, CountDownLatch answer) {
        if (line.equals("run held")) {
            try {
                answer.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return Optional.of("ok");
    }

    private FaultyLink linkTo(int rank) throws Exception {
        FaultyLink link = new FaultyLink(addresses.get(owners.get(rank)));
        addresses.put(owners.get(rank), link.address());
        return link;
    }

    private EngineFixture owner(ScriptedDatabase primary, int rank) throws Exception {
        EngineFixture owner =
                new EngineFixture().withDatabase(database, primary, true).withConnectionLimit(CONNECTIONS);
        addresses.put(owners.get(rank), owner.lendConnections());
        return owner.configure(Consistency.PRIMARY, ownership(owners.get(rank)));
    }

    /** The margin keeps a busy machine from taking a running owner for a failed one. */
    private EngineFixture entryVm(ScriptedDatabase primary) throws Exception {
        return entryVm(primary, EngineFixture.REPLY_TIMEOUT);
    }

    private EngineFixture entryVm(ScriptedDatabase primary, Duration responseMargin) throws Exception {
        return new EngineFixture()
                .withResponseMargin(responseMargin)
                .withDatabase(database, primary, true)
                .withConnectionLimit(CONNECTIONS)
                .configure(Consistency.PRIMARY, ownership(entryVm));
    }

    private RateOwnership ownership(VmName self) {
        return new RateOwnership(self, members, addresses, Set.of(), true);
    }

    private static long opened(ScriptedDatabase database) {
        return database.receivedLines().stream()
                .filter(line -> line.startsWith("open "))
                .count();
    }

    private static Set<VmName> memberNames() {
        Set<VmName> names = new HashSet<>();
        for (int number = 1; number <= 10; number++) {
            names.add(VmName.of("vm-" + number));
        }
        return names;
    }

    private List<VmName> owners(String name) {
        return new ConnectionOwnership(NONE, members, EngineFixture.besideDatabase(members, name)).owners(entry(name));
    }

    private static DatabaseEntry entry(String name) {
        return new DatabaseEntry(
                BackendServerName.of(name),
                EngineFixture.GROUP,
                "127.0.0.1:1",
                FailureDomain.of("zone-of-" + name),
                2,
                false,
                true,
                1,
                1,
                new StoreRevision(1, 1));
    }
}
