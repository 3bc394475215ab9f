package org.geraniumproxy.proxy.pool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.ConfigurationRevision;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.core.pool.QueuePolicy;
import org.geraniumproxy.proxy.backend.BackendClient;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.pool.SlotPool.SlotGrant;
import org.geraniumproxy.proxy.pool.SlotPool.SlotLease;
import org.geraniumproxy.proxy.testing.ManualClock;
import org.geraniumproxy.proxy.testing.ManualExecutor;
import org.geraniumproxy.proxy.testing.ManualTimer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against connections beyond this VM's share, slots that are never released, and reuse of broken connections.
 */
class FairSlotPool_acquire_Test {
    private static final VmName SELF = VmName.of("vm-0");
    private static final GroupName GROUP = GroupName.of("ledger-1");
    private static final CustomerName CUSTOMER = CustomerName.of("troupes");
    private static final RegionName REGION = RegionName.of("lima");
    private static final FailureDomain DOMAIN = FailureDomain.of("lima-1");
    private static final BackendServer SERVER =
            new BackendServer(BackendServerName.of("ledger-1a"), "127.0.0.1:1", REGION, DOMAIN);
    private static final DatabaseGroup CONFIGURATION = new DatabaseGroup(GROUP, List.of(SERVER), 2, 16, 4);

    private final ManualClock clock = new ManualClock();
    private final ManualExecutor executor = new ManualExecutor();
    private final FakeClient client = new FakeClient();
    private FairSlotPool pool;

    @BeforeEach
    void startAndWaitForTheShare() {
        try (ManualTimer timer = new ManualTimer()) {
            pool = new FairSlotPool(client, this::snapshot, clock, executor, timer, QueuePolicy.standard());
            pool.start();
            for (int step = 0; step < 35; step++) {
                clock.advance(Duration.ofMillis(100));
                timer.runAll();
                executor.runAll();
            }
        }
    }

    @Test
    void should_keep_one_warm_connection_per_slot_and_grant_no_more_slots() {
        // when
        SlotGrant first = acquire().join();
        SlotGrant second = acquire().join();
        CompletableFuture<SlotGrant> third = acquire();

        // then
        assertThat(client.opened.size(), is(2));
        assertThat(first, instanceOf(SlotGrant.Granted.class));
        assertThat(second, instanceOf(SlotGrant.Granted.class));
        assertThat(third.isDone(), is(false));
        lease(first).release();
        executor.runAll();
        assertThat(lease(third.join()).connection(), is(client.opened.getFirst()));
    }

    @Test
    void should_replace_a_connection_that_is_not_clean() {
        // given
        SlotGrant first = acquire().join();
        FakeConnection broken = (FakeConnection) lease(first).connection();

        // when
        broken.clean = false;
        lease(first).release();
        executor.runAll();

        // then
        assertThat(broken.closed, is(true));
        assertThat(client.opened.size(), is(3));
    }

    @Test
    void should_let_others_use_the_slot_between_statements_of_a_transaction() {
        // given two transactions that keep their connections
        SlotLease first = lease(acquire().join());
        SlotLease second = lease(acquire().join());

        // when
        first.yieldSlot();
        CompletableFuture<SlotGrant> other = acquire();
        executor.runAll();

        // then: the other request gets a new connection, and the transaction waits for a slot again
        SlotLease third = lease(other.join());
        assertThat(client.opened.size(), is(3));
        CompletableFuture<Boolean> resumed = first.resumeSlot(clock.instant().plusSeconds(1));
        executor.runAll();
        assertThat(resumed.isDone(), is(false));
        second.release();
        executor.runAll();
        assertThat(resumed.join(), is(true));
        third.release();
        executor.runAll();
    }

    @Test
    void should_refuse_a_database_that_is_not_configured() {
        // when
        CompletableFuture<SlotGrant> grant = pool.acquire(
                GROUP, BackendServerName.of("other"), CUSTOMER, clock.instant().plusSeconds(1));
        executor.runAll();

        // then
        assertThat(((SlotGrant.Refused) grant.join()).reason(), is(NotRunReason.UNREACHABLE));
    }

    private CompletableFuture<SlotGrant> acquire() {
        CompletableFuture<SlotGrant> grant =
                pool.acquire(GROUP, SERVER.name(), CUSTOMER, clock.instant().plusSeconds(1));
        executor.runAll();
        return grant;
    }

    private static SlotLease lease(SlotGrant grant) {
        return ((SlotGrant.Granted) grant).lease();
    }

    private ControlSnapshot snapshot() {
        BackendStatus status = new BackendStatus(
                SERVER.name(),
                clock.instant(),
                Term.NONE,
                Term.NONE,
                Term.NONE,
                0,
                true,
                Duration.ZERO,
                client.opened.size(),
                false,
                List.of());
        GroupView view = new GroupView(
                GROUP, Term.NONE, Optional.of(SERVER.name()), Map.of(SERVER.name(), status), List.of(), List.of());
        return new ControlSnapshot(
                SELF,
                new ConfigurationRevision(
                        1, "a", "b", new Configuration(Map.of(), Map.of(GROUP, CONFIGURATION), Map.of())),
                new Roster(1, List.of(new Vm(0, SELF, "127.0.0.1:2", REGION, DOMAIN, 1, false))),
                Set.of(),
                Optional.of(clock.instant()),
                false,
                Map.of(GROUP, view));
    }

    private static final class FakeConnection implements BackendConnection {
        private boolean clean = true;
        private boolean closed;

        @Override
        public CompletableFuture<BackendReply> execute(BackendCommand command, Term term, CustomerName customer) {
            return CompletableFuture.completedFuture(new BackendReply.NotSent("fake"));
        }

        @Override
        public boolean isClean() {
            return clean && !closed;
        }

        @Override
        public void close() {
            closed = true;
        }
    }

    private static final class FakeClient implements BackendClient {
        private final List<FakeConnection> opened = new ArrayList<>();

        @Override
        public CompletableFuture<BackendConnection> open(BackendServer backendServer) {
            FakeConnection connection = new FakeConnection();
            opened.add(connection);
            return CompletableFuture.completedFuture(connection);
        }

        @Override
        public CompletableFuture<BackendStatus> status(BackendServer server, long awaited, Duration wait) {
            throw new UnsupportedOperationException("not used by the pool");
        }

        @Override
        public CompletableFuture<FenceResult> fence(BackendServer backendServer, Term term) {
            throw new UnsupportedOperationException("not used by the pool");
        }

        @Override
        public CompletableFuture<PromoteResult> promote(BackendServer backendServer, Term term) {
            throw new UnsupportedOperationException("not used by the pool");
        }

        @Override
        public CompletableFuture<Boolean> follow(BackendServer backendServer, Term term, BackendServer primary) {
            throw new UnsupportedOperationException("not used by the pool");
        }

        @Override
        public void close() {}
    }
}
