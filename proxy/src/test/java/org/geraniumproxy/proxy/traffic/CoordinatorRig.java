package org.geraniumproxy.proxy.traffic;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.geraniumproxy.core.configuration.ConfigurationRevision;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.failover.PositionSample;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.core.session.SessionRequirement;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.failover.Durability;
import org.geraniumproxy.proxy.pool.SlotPool;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.geraniumproxy.proxy.telemetry.Tracing;
import org.geraniumproxy.proxy.telemetry.TrafficMetrics;

/** A coordinator before databases whose replies the test writes, with a clock that stands still. */
final class CoordinatorRig {
    private static final long LIMIT_SECONDS = 10;

    static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    static final GroupName GROUP = GroupName.of("ledger-1");
    static final BackendServerName PRIMARY = BackendServerName.of("ledger-1a");
    static final BackendServerName REPLICA = BackendServerName.of("ledger-1b");
    static final Term TERM = Term.of(8192);
    static final Term NEXT_TERM = Term.of(16384);

    /** The databases that commands were sent to, in order. */
    final List<BackendServerName> sentTo = new ArrayList<>();

    /** The requests in flight at the coordinator. */
    final InFlightRequests inFlight = new InFlightRequests();

    private final Deque<BackendReply> replies = new ArrayDeque<>();
    private final CompletableFuture<BackendReply> lateReply = new CompletableFuture<>();
    private Optional<Runnable> whileRunning = Optional.empty();
    private Runnable whileQueued = () -> {};
    private Runnable onAwaitedChange = () -> {};
    private ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private GroupView view = view(TERM, 10, 10, NOW.minusMillis(20));
    private final AtomicInteger held = new AtomicInteger();

    CoordinatorRig(BackendReply... replies) {
        this.replies.addAll(Arrays.asList(replies));
    }

    static BackendReply completed(Term term, long position) {
        return new BackendReply.Completed(List.of("row"), new LogPosition(term, position), false);
    }

    static GroupView view(Term term, long primaryPosition, long replicaPosition, Instant reportedAt) {
        return new GroupView(
                GROUP,
                term,
                Optional.of(PRIMARY),
                Map.of(
                        PRIMARY, status(PRIMARY, term, primaryPosition, true, reportedAt),
                        REPLICA, status(REPLICA, term, replicaPosition, false, reportedAt)),
                List.of(new PositionSample(NOW.minusMillis(30), 10)),
                term.equals(TERM)
                        ? List.of(new TermStart(TERM, 0))
                        : List.of(new TermStart(TERM, 0), new TermStart(NEXT_TERM, 8)));
    }

    CoordinatorRig showing(GroupView shown) {
        view = shown;
        return this;
    }

    CoordinatorRig whileQueued(Runnable action) {
        whileQueued = action;
        return this;
    }

    /** Lets the database answer only after the caller has its reply. */
    CoordinatorRig whileRunning(Runnable action) {
        whileRunning = Optional.of(action);
        return this;
    }

    /** Serves the request before the handler returns. */
    CoordinatorRig servingAtOnce() {
        executor = new CallingThreadExecutor();
        return this;
    }

    CoordinatorRig onAwaitedChange(Runnable action) {
        onAwaitedChange = action;
        return this;
    }

    GroupResult handle(GroupRequest request) {
        TrafficContext context = new TrafficContext(
                this::snapshot,
                Clock.fixed(NOW, ZoneOffset.UTC),
                _ -> new CompletableFuture<>(),
                executor,
                Tracing.disabled(),
                new TrafficMetrics(new PrometheusRegistry()),
                inFlight);
        GroupResult result = new CoordinatorHandler(context, this::acquire, new ChangingView(), _ -> Map.of())
                .handle(request)
                .orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS)
                .join();
        lateReply.complete(new BackendReply.Broken("the connection was closed"));
        awaitIdle().orTimeout(LIMIT_SECONDS, TimeUnit.SECONDS).join();
        if (held.get() != 0) {
            throw new AssertionError("a lease was not released");
        }
        return result;
    }

    /** A request that was answered at the end of the drain still gives its lease back. */
    private CompletableFuture<Void> awaitIdle() {
        return inFlight.count() == 0
                ? CompletableFuture.completedFuture(null)
                : Delay.SYSTEM.after(Duration.ofMillis(5)).thenCompose(_ -> awaitIdle());
    }

    static GroupRequest read(boolean repeatable, Duration acceptedAge, LogPosition lastWrite) {
        return new GroupRequest(
                1,
                CustomerName.of("troupes"),
                GROUP,
                "GET act",
                Access.READ,
                repeatable,
                acceptedAge,
                NOW.plusSeconds(5),
                new SessionRequirement(lastWrite, LogPosition.START));
    }

    static GroupRequest write() {
        return new GroupRequest(
                1,
                CustomerName.of("troupes"),
                GROUP,
                "PUT act mime",
                Access.WRITE,
                false,
                Duration.ZERO,
                NOW.plusSeconds(5),
                SessionRequirement.NONE);
    }

    private ControlSnapshot snapshot() {
        return new ControlSnapshot(
                VmName.of("vm-0"),
                ConfigurationRevision.NONE,
                Roster.EMPTY,
                Set.of(),
                Optional.of(NOW),
                false,
                Map.of(GROUP, view));
    }

    private CompletableFuture<SlotPool.SlotGrant> acquire(
            GroupName group, BackendServerName server, CustomerName customer, Instant deadline) {
        held.incrementAndGet();
        whileQueued.run();
        return CompletableFuture.completedFuture(new SlotPool.SlotGrant.Granted(new Lease(server)));
    }

    private static BackendStatus status(
            BackendServerName name, Term term, long position, boolean primary, Instant reportedAt) {
        return new BackendStatus(
                name, reportedAt, term, term, term, position, primary, Duration.ZERO, 1, false, List.of());
    }

    private final class ChangingView implements Durability {
        @Override
        public CompletableFuture<Boolean> awaitDurable(GroupName group, LogPosition write, Instant deadline) {
            return CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletableFuture<Void> awaitChange(GroupName group, Instant deadline) {
            onAwaitedChange.run();
            return CompletableFuture.completedFuture(null);
        }
    }

    private final class Lease implements SlotPool.SlotLease, BackendConnection {
        private final BackendServerName server;

        Lease(BackendServerName server) {
            this.server = server;
        }

        @Override
        public BackendConnection connection() {
            return this;
        }

        @Override
        public CompletableFuture<BackendReply> execute(BackendCommand command, Term term, CustomerName customer) {
            sentTo.add(server);
            if (whileRunning.isPresent()) {
                whileRunning.get().run();
                return lateReply;
            }
            return CompletableFuture.completedFuture(replies.remove());
        }

        @Override
        public boolean isClean() {
            return true;
        }

        @Override
        public void close() {}

        @Override
        public void release() {
            held.decrementAndGet();
        }

        @Override
        public void yieldSlot() {}

        @Override
        public CompletableFuture<Boolean> resumeSlot(Instant deadline) {
            return CompletableFuture.completedFuture(true);
        }
    }
}
