package org.geraniumproxy.engine.traffic;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.caller.CallerDrain;
import org.geraniumproxy.core.caller.PositionAnswer;
import org.geraniumproxy.core.caller.PositionRequest;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.VmLocation;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.RouteName;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateHandover;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.limit.TokenAnswer;
import org.geraniumproxy.core.limit.TokenRequest;
import org.geraniumproxy.core.memory.CallerLimits;
import org.geraniumproxy.core.routing.EvacuationPhase;
import org.geraniumproxy.core.routing.PlacementConstraints;
import org.geraniumproxy.core.service.Consistency;
import org.geraniumproxy.core.service.ServiceConfiguration;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.geraniumproxy.core.service.ServiceGroup;
import org.geraniumproxy.core.service.ServiceRoute;
import org.geraniumproxy.engine.loop.ClockJumpDetector;
import org.geraniumproxy.engine.loop.EventLoop;
import org.geraniumproxy.engine.loop.MonotonicClock;
import org.geraniumproxy.engine.telemetry.DecisionLog;
import org.geraniumproxy.engine.telemetry.NodeMetrics;

/**
 * Traffic engine on real sockets. The periodic tick is not started, so that a step that only the tick would run leaves
 * its caller without a reply.
 */
final class EngineFixture implements AutoCloseable {
    static final GroupName GROUP = GroupName.of("entries");

    /** Far above the duration of a step on one machine, and below the statement timeout. */
    static final Duration REPLY_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration STATEMENT_TIMEOUT = Duration.ofSeconds(30);
    static final CustomerName CUSTOMER = CustomerName.of("troupe");
    private static final String KEY = "k7secret";

    private final Map<BackendServerName, DatabaseEntry> databases = new HashMap<>();
    private final Map<BackendServerName, DatabaseEntry> formerDatabases = new HashMap<>();
    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final EventLoop loop;
    private final TrafficEngine engine;
    private Map<VmName, VmLocation> vmLocations = Map.of();
    private TrafficView view = TrafficView.NONE;
    private RateOwnership ownership = RateOwnership.alone(VmName.of("vm-1"));
    private int connectionLimit = 4;
    private final int port;

    EngineFixture() throws IOException {
        this(new NoOpSender());
    }

    EngineFixture(PeerSender sender) throws IOException {
        Clock clock = new MonotonicClock();
        DecisionLog log = new DecisionLog(new PrintStream(logOutput, true, StandardCharsets.UTF_8));
        log.start();
        loop = new EventLoop(clock, log);
        engine = new TrafficEngine(
                loop,
                clock,
                new ClockJumpDetector(clock, System::currentTimeMillis),
                TextProtocol.callerProtocol(),
                TextProtocol.backendProtocol(),
                log,
                new NodeMetrics(),
                new NoOpObserver(),
                sender,
                0,
                CallerLimits.of(Runtime.getRuntime().maxMemory(), OptionalLong.empty(), OptionalInt.empty()));
        port = freePort();
        loop.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), engine::accept);
        loop.start("traffic");
    }

    EngineFixture withDatabase(String name, ScriptedDatabase database, boolean primary) {
        databases.put(BackendServerName.of(name), entry(name, database, primary));
        return this;
    }

    /** Sets the margin for the responses of owners. */
    EngineFixture withResponseMargin(Duration margin) throws Exception {
        return runOnLoop(() -> engine.sharedConnections().setResponseMargin(margin));
    }

    /** Sets the number of connections that each database accepts. */
    EngineFixture withConnectionLimit(int limit) {
        connectionLimit = limit;
        return this;
    }

    /** Removes a database from the configurations that are applied from now on. */
    EngineFixture withoutDatabase(String name) {
        databases.remove(BackendServerName.of(name));
        return this;
    }

    /** Adds a primary with the given slots, or replaces its entry. Another start time is that of a restart. */
    EngineFixture withPrimary(String name, ScriptedDatabase database, int slots, long startedAtMilliseconds) {
        databases.put(BackendServerName.of(name), entry(name, database, true, slots, startedAtMilliseconds));
        return this;
    }

    EngineFixture withFormerDatabase(String name, ScriptedDatabase database) {
        formerDatabases.put(BackendServerName.of(name), entry(name, database, false));
        return this;
    }

    private static DatabaseEntry entry(String name, ScriptedDatabase database, boolean primary) {
        return entry(name, database, primary, 2, 1);
    }

    private static DatabaseEntry entry(
            String name, ScriptedDatabase database, boolean primary, int slots, long startedAtMilliseconds) {
        BackendServerName server = BackendServerName.of(name);
        return new DatabaseEntry(
                server,
                GROUP,
                database.address(),
                zoneOf(name),
                slots,
                false,
                primary,
                startedAtMilliseconds,
                1,
                new StoreRevision(1, 1));
    }

    /** Sends an administrative command and waits for the reply. */
    EngineFixture sendCommand(String name, BackendCommand command) throws Exception {
        CompletableFuture<BackendReply> reply = new CompletableFuture<>();
        runOnLoop(() -> {
            var unused = engine.sendCommand(BackendServerName.of(name), command, REPLY_TIMEOUT)
                    .thenAccept(reply::complete);
        });
        reply.get(REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return this;
    }

    /** Sends an administrative command that gets no reply and returns why it failed. */
    Throwable failureOfCommand(String name, BackendCommand command, Duration timeout) throws Exception {
        return startCommand(name, command, timeout).get(REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Sends an administrative command. The result completes with the reason why it failed. */
    CompletableFuture<Throwable> startCommand(String name, BackendCommand command, Duration timeout) throws Exception {
        CompletableFuture<Throwable> failed = new CompletableFuture<>();
        runOnLoop(() -> {
            var unused = engine.sendCommand(BackendServerName.of(name), command, timeout)
                    .whenComplete((_, failure) -> failed.complete(failure));
        });
        return failed;
    }

    /** Applies a configuration with one route of the given consistency to a VM that owns all rates. */
    EngineFixture configure(Consistency consistency) throws Exception {
        return configure(consistency, RateOwnership.alone(VmName.of("vm-1")));
    }

    /** Applies a configuration in which another customer holds the callers' key. */
    EngineFixture moveKeyTo(CustomerName customer) throws Exception {
        ServiceCustomer former = new ServiceCustomer(CUSTOMER, Set.of(), 1000, 1000);
        ServiceCustomer holder = new ServiceCustomer(customer, Set.of(KeyDigest.ofKey(KEY)), 1000, 1000);
        view = view(Consistency.PRIMARY, Map.of(CUSTOMER, former, customer, holder));
        return runOnLoop(() -> engine.update(view, ownership));
    }

    /** Applies a configuration with one route of the given consistency. */
    EngineFixture configure(Consistency consistency, RateOwnership newest) throws Exception {
        ownership = newest;
        databases.keySet().stream()
                .findFirst()
                .ifPresent(database -> vmLocations = besideDatabase(ownership.members(), database.value()));
        view = view(consistency, Map.of(CUSTOMER, customer()));
        return runOnLoop(() -> {
            engine.sharedConnections().enable();
            engine.update(view, ownership);
        });
    }

    /** Returns the locations of VMs that all run in the failure domain of a database. */
    static Map<VmName, VmLocation> besideDatabase(Set<VmName> members, String database) {
        VmLocation location = new VmLocation(Optional.of(zoneOf(database)), Optional.of(RegionName.of("region")));
        Map<VmName, VmLocation> locations = new HashMap<>();
        members.forEach(member -> locations.put(member, location));
        return locations;
    }

    private static FailureDomain zoneOf(String database) {
        return FailureDomain.of("zone-of-" + database);
    }

    /** Accepts streams of other VMs, and returns the address under which this VM registers. */
    String lendConnections() throws Exception {
        int relayPort = freePort();
        runOnLoop(() -> {
            try {
                loop.listen(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), relayPort),
                        engine.sharedConnections()::accept);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        return "127.0.0.1:" + (relayPort - 1);
    }

    /** Begins the periodic tick, which finds silent VMs. */
    EngineFixture startTicks() {
        loop.execute(engine::start);
        return this;
    }

    /** Applies new members when the view stays the same. */
    EngineFixture applyMembers(RateOwnership ownership) throws Exception {
        return runOnLoop(() -> engine.update(ownership));
    }

    /** Starts a planned stop. The result completes when neither a caller nor another VM uses this one. */
    CompletableFuture<Void> stop(RateOwnership ownership) throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        Instant now = engine.now();
        Instant end = now.plus(STATEMENT_TIMEOUT);
        runOnLoop(() -> {
            engine.update(draining(new CallerDrain(now, end, end)), ownership);
            var unused = engine.whenSessionsEnd().thenAccept(ended::complete);
        });
        return ended;
    }

    /** Ends the evacuation of the failure domain of a database, which is closed; the others are elsewhere. */
    EngineFixture endEvacuationOf(String name) throws Exception {
        DatabaseEntry closed = databases.remove(BackendServerName.of(name));
        formerDatabases.put(closed.name(), closed);
        TrafficView current = view(Consistency.PRIMARY, Map.of(CUSTOMER, customer()));
        view = new TrafficView(
                current.configuration(),
                current.groups(),
                current.formerDatabases(),
                current.drain(),
                current.vmCount(),
                current.watchedGroups(),
                current.positionSources(),
                current.promotionFences(),
                current.vmLocations(),
                new PlacementConstraints(Map.of(), Map.of(closed.failureDomain(), EvacuationPhase.ENDED), Set.of()));
        return runOnLoop(() -> engine.update(view, RateOwnership.alone(VmName.of("vm-1"))));
    }

    /** Applies a configuration without customers when the loop's current step is finished. */
    void removeCustomerLater(Consistency consistency, RateOwnership ownership) {
        TrafficView withoutCustomers = view(consistency, Map.of());
        loop.execute(() -> engine.update(withoutCustomers, ownership));
    }

    private static ServiceCustomer customer() {
        return new ServiceCustomer(CUSTOMER, Set.of(KeyDigest.ofKey(KEY)), 1000, 1000);
    }

    private TrafficView view(Consistency consistency, Map<CustomerName, ServiceCustomer> customers) {
        ServiceRoute route = new ServiceRoute(
                RouteName.of("route"),
                "database",
                GROUP,
                consistency,
                Duration.ofSeconds(1),
                STATEMENT_TIMEOUT,
                Duration.ofSeconds(1),
                1,
                false);
        ServiceConfiguration configuration = ServiceConfiguration.of(
                1,
                Map.of("database", route),
                Map.of(GROUP, new ServiceGroup(GROUP, connectionLimit, 1)),
                customers,
                Duration.ofSeconds(3));
        GroupDirectory directory = new GroupDirectory(databases, Optional.empty(), Map.of());
        return new TrafficView(
                configuration,
                Map.of(GROUP, directory),
                formerDatabases,
                Optional.empty(),
                1,
                Set.of(GROUP),
                List.of(),
                Map.of(),
                vmLocations,
                PlacementConstraints.NONE);
    }

    /** Begins a stop in which transactions and statements have more time than any test takes. */
    void startDraining() {
        startDraining(STATEMENT_TIMEOUT);
    }

    /** Begins a stop in which answers are due after a time, and ends the sessions that are owed nothing. */
    void startDraining(Duration untilAnswersAreDue) {
        Instant now = engine.now();
        Instant end = now.plus(untilAnswersAreDue);
        engine.update(draining(new CallerDrain(now, end, end)), RateOwnership.alone(VmName.of("vm-1")));
        var unused = engine.whenSessionsEnd();
    }

    private TrafficView draining(CallerDrain drain) {
        return new TrafficView(
                view.configuration(),
                view.groups(),
                view.formerDatabases(),
                Optional.of(drain),
                view.vmCount(),
                view.watchedGroups(),
                view.positionSources(),
                view.promotionFences(),
                view.vmLocations(),
                view.constraints());
    }

    /** Delivers the answer of another VM. */
    EngineFixture receive(TokenAnswer answer) {
        loop.execute(() -> engine.peerRequests().receive(answer));
        return this;
    }

    /** Runs a step on the loop's thread and waits until it is finished. */
    EngineFixture runOnLoop(Runnable step) throws Exception {
        CompletableFuture<Void> done = CompletableFuture.runAsync(step, loop);
        done.get(REPLY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        return this;
    }

    /** Waits until a number of callers are connected. */
    EngineFixture awaitSessions(int count) throws Exception {
        return awaitState(() -> engine.sessionCount() == count);
    }

    /** Waits until the given number of statements wait for a database or run there. */
    EngineFixture awaitOutstandingStatements(String name, int count) throws Exception {
        return awaitState(() -> {
            DatabaseConnectionPool connectionPool = engine.connectionPool(BackendServerName.of(name));
            return connectionPool.load().outstandingStatements() == count;
        });
    }

    /**
     * Waits until the engine has no connection to a database. Applies no configuration, which would close idle ones.
     */
    EngineFixture awaitUnused(String name) throws Exception {
        return awaitState(
                () -> engine.connectionPool(BackendServerName.of(name)).isUnused());
    }

    private EngineFixture awaitState(BooleanSupplier reached) throws Exception {
        Instant end = Instant.now().plus(REPLY_TIMEOUT);
        AtomicBoolean isReached = new AtomicBoolean();
        runOnLoop(() -> isReached.set(reached.getAsBoolean()));
        while (!isReached.get()) {
            if (Instant.now().isAfter(end)) {
                throw new AssertionError("the engine did not reach the expected state");
            }
            TimeUnit.MILLISECONDS.sleep(5);
            runOnLoop(() -> isReached.set(reached.getAsBoolean()));
        }
        return this;
    }

    /** Waits until a line of the decision log contains a text. */
    EngineFixture awaitLogLine(String text) throws InterruptedException {
        Instant end = Instant.now().plus(REPLY_TIMEOUT);
        while (!logOutput.toString(StandardCharsets.UTF_8).contains(text)) {
            if (Instant.now().isAfter(end)) {
                throw new AssertionError("no log line contains " + text + " in:\n" + logOutput);
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return this;
    }

    /** Returns the lines of the decision log that were written so far. */
    String logText() {
        return logOutput.toString(StandardCharsets.UTF_8);
    }

    TestCaller newCaller() throws IOException {
        return new TestCaller(port);
    }

    /** Does nothing: the event loop cannot be stopped, and its sockets are closed when the test process ends. */
    @Override
    public void close() {}

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Caller that is connected through a socket. */
    static final class TestCaller implements AutoCloseable {
        private final Socket socket;
        private final BufferedReader replies;

        TestCaller(int port) throws IOException {
            socket = new Socket(InetAddress.getLoopbackAddress(), port);
            socket.setSoTimeout((int) REPLY_TIMEOUT.toMillis());
            replies = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        }

        TestCaller connect() throws IOException {
            return send("connect database " + KEY);
        }

        TestCaller send(String line) throws IOException {
            socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
            return this;
        }

        /** Returns the next line, or null if the engine closed the connection. */
        String readLine() throws IOException {
            return replies.readLine();
        }

        /** Closes the connection without a quit message. */
        void disconnect() throws IOException {
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A single VM owns all rates and sends no message. */
    static class NoOpSender implements PeerSender {
        @Override
        public void send(TokenRequest request, VmName owner, String address) {}

        @Override
        public void send(TokenAnswer answer, VmName borrower, String address) {}

        @Override
        public void send(RateHandover handover, VmName owner, String address) {}

        @Override
        public void send(PositionRequest request, VmName watcher, String address) {}

        @Override
        public void send(PositionAnswer answer, VmName requester, String address) {}
    }

    private static final class NoOpObserver implements TrafficObserver {
        @Override
        public void onReport(TrafficReport report) {}

        @Override
        public void onNotPrimary(GroupName group, BackendServerName database) {}
    }
}
