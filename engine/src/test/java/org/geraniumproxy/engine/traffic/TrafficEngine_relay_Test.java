package org.geraniumproxy.engine.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.pool.ConnectionOwnership;
import org.geraniumproxy.core.service.Consistency;
import org.junit.jupiter.api.Test;

/**
 * Guards against statements that are lost, run twice or get a false answer when they use the database connection of
 * another VM, and against connections of each VM where a few owners suffice.
 */
class TrafficEngine_relay_Test {
    /** Its owners don't own the rate of the customer, so that the entry VM may do so and borrows no token. */
    private static final String DATABASE = "db-2";

    private final Set<VmName> members = memberNames();
    private final List<VmName> owners =
            new ConnectionOwnership(VmName.of("none"), members, Map.of()).owners(entry());
    private final VmName entryVm = new RateOwnership(VmName.of("none"), members, Map.of(), Set.of(), true)
            .holders(EngineFixture.CUSTOMER, 1000)
            .getFirst();


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
            assertThat(opened(primary), is(1L));
            assertThat(Collections.frequency(primary.receivedLines(), "run first0"), is(1));
            owner.awaitOutstandingStatements(DATABASE, 0);
        }
    }

    private EngineFixture owner(ScriptedDatabase primary, int rank) throws Exception {
        EngineFixture owner = new EngineFixture().withDatabase(DATABASE, primary, true);
        addresses.put(owners.get(rank), owner.lendConnections());
        return owner.configure(Consistency.PRIMARY, ownership(owners.get(rank)));
    }

    private EngineFixture entryVm(ScriptedDatabase primary) throws Exception {
        return new EngineFixture()
                .withDatabase(DATABASE, primary, true)
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

    private static DatabaseEntry entry() {
        return new DatabaseEntry(
                BackendServerName.of(DATABASE),
                EngineFixture.GROUP,
                "127.0.0.1:1",
                FailureDomain.of("zone"),
                2,
                false,
                true,
                1,
                1,
                new StoreRevision(1, 1));
    }
}
