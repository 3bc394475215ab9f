package org.geraniumproxy.engine.traffic;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongPredicate;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.caller.DatabaseLoad;
import org.geraniumproxy.core.caller.ErrorCode;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.caller.SessionContext;
import org.geraniumproxy.core.caller.SessionEffect;
import org.geraniumproxy.core.caller.SessionEvent;
import org.geraniumproxy.core.caller.StatementResult;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.DatabaseHealth;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.memory.CallerLimits;
import org.geraniumproxy.core.pool.SlotRequest;
import org.geraniumproxy.core.service.ServiceGroup;
import org.geraniumproxy.core.statement.Statement;
import org.geraniumproxy.engine.loop.ClockJumpDetector;
import org.geraniumproxy.engine.loop.EventLoop;
import org.geraniumproxy.engine.loop.StreamConnection;
import org.geraniumproxy.engine.loop.StreamHandler;
import org.geraniumproxy.engine.telemetry.DecisionLog;
import org.geraniumproxy.engine.telemetry.NodeMetrics;

/**
 * Serves the callers of this VM. All state is confined to the thread of one event loop; the decisions of the control
 * thread arrive as immutable views.
 */
public final class TrafficEngine {
    /** Interval of reports, of primary probes and of retries after a failure to open a connection. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** Weight of the lowest priority in the queue for slots; each higher priority doubles it. */
    private static final int LOWEST_WEIGHT = 1;

    private static final int PRIORITY_COUNT = 4;

    /** Bounds the log lines of a stop; a node may hold thousands of sessions. */
    private static final int MAXIMUM_LOGGED_SESSIONS = 200;

    private final EventLoop loop;
    private final Clock clock;
    private final ClockJumpDetector clockJumpDetector;
    private final CallerProtocol callerProtocol;
    private final BackendProtocol backendProtocol;
    private final DecisionLog log;
    private final NodeMetrics metrics;
    private final TrafficObserver observer;
    private final Map<Long, CallerConnection> sessions = new HashMap<>();
    private final Map<BackendServerName, DatabaseConnectionPool> connectionPools = new HashMap<>();
    private final PrimaryPositions positions = new PrimaryPositions();
    private final Deque<Runnable> pendingSteps = new ArrayDeque<>();
    private final long firstRequestId;
    private final AdministrativeCommands administrativeCommands = new AdministrativeCommands(this);
    private final PrimaryProber primaryProber;
    private final PeerRequests peerRequests;
    private final SharedConnections sharedConnections = new SharedConnections(this);
    private final ObservationRecorder observations;
    private final LoadBalancer balancer = new LoadBalancer(this);
    private final HeldMemory memory;
    private final CallerConnections callerConnections;
    private TrafficView view = TrafficView.NONE;
    private long lastSessionId;
    private long lastConnectionId;
    private Optional<CompletableFuture<Void>> sessionsEnded = Optional.empty();

    /**
     * Creates an engine without a configuration.
     *
     * @param loop event loop whose thread owns the state of the engine
     * @param clock monotonic clock
     * @param clockJumpDetector detects suspensions of the VM
     * @param callerProtocol wire protocol of the callers
     * @param backendProtocol wire protocol of the databases
     * @param log receives decisions
     * @param metrics counts outcomes of statements
     * @param observer receives reports about the traffic
     * @param peerSender sends requests and answers to other VMs
     * @param firstRequestId identifier of the first token request, larger than any of an earlier process of this VM
     * @param limits limits of the connections of callers
     */
    public TrafficEngine(
            EventLoop loop,
            Clock clock,
            ClockJumpDetector clockJumpDetector,
            CallerProtocol callerProtocol,
            BackendProtocol backendProtocol,
            DecisionLog log,
            NodeMetrics metrics,
            TrafficObserver observer,
            PeerSender peerSender,
            long firstRequestId,
            CallerLimits limits) {
        this.loop = loop;
        this.clock = clock;
        this.clockJumpDetector = clockJumpDetector;
        this.callerProtocol = callerProtocol;
        this.backendProtocol = backendProtocol;
        this.log = log;
        this.metrics = metrics;
        this.observer = observer;
        this.observations = new ObservationRecorder(this, balancer, observer);
        this.peerRequests = new PeerRequests(this, peerSender, balancer);
        this.firstRequestId = firstRequestId;
        this.memory = new HeldMemory(limits.budget(), this::now, this::runInNextIteration);
        this.callerConnections = new CallerConnections(this, limits);
        this.primaryProber = new PrimaryProber(this, administrativeCommands, observer);
    }

    /** Starts the periodic reports and probes. Must be called on the loop's thread. */
    public void start() {
        tick();
    }

    /**
     * Creates a session for a new caller.
     *
     * @param stream one-element array that holds the connection after the call
     * @return handler of the connection
     */
    public StreamHandler accept(StreamConnection[] stream) {
        lastSessionId++;
        CallerConnection caller = new CallerConnection(this, lastSessionId, stream);
        sessions.put(lastSessionId, caller);
        return caller;
    }

    /**
     * Applies a new view and new owners of the rates. Must be called on the loop's thread.
     *
     * @param next replaces the current view
     * @param ownership owners of the customers' rates
     */
    public void update(TrafficView next, RateOwnership ownership) {
        boolean firstConfiguration = !isConfigured();
        boolean fencesChanged = !view.promotionFences().equals(next.promotionFences());
        boolean constraintsChanged = !view.constraints().equals(next.constraints());
        view = next;
        peerRequests.update(next, ownership);
        sharedConnections.updateOwners(view, ownership);
        Map<BackendServerName, DatabaseEntry> currentDatabases = new HashMap<>();
        for (GroupDirectory group : next.groups().values()) {
            currentDatabases.putAll(group.databases());
        }
        currentDatabases.values().forEach(entry -> connectionPoolFor(entry).update(entry));
        next.formerDatabases()
                .values()
                .forEach(entry -> connectionPoolFor(entry).update(entry));
        for (DatabaseConnectionPool connectionPool : connectionPools.values()) {
            if (!currentDatabases.containsKey(connectionPool.entry().name())) {
                connectionPool.remove();
            }
        }
        connectionPools
                .values()
                .removeIf(connectionPool ->
                        !currentDatabases.containsKey(connectionPool.entry().name())
                                && !next.formerDatabases()
                                        .containsKey(connectionPool.entry().name())
                                && sharedConnections.isUnused(connectionPool));
        sharedConnections.updateLent(view);
        if (firstConfiguration && isConfigured()) {
            List.copyOf(sessions.values()).forEach(CallerConnection::handleQueuedMessages);
        }
        runPendingSteps();
        if (constraintsChanged) {
            checkSessions();
        }
        metrics.updateDatabases(next.constraints().evacuated().size(), next.formerDatabaseCounts());
        if (fencesChanged) {
            // A promotion waits until this VM has confirmed that it enforces it.
            observer.onReport(report());
        }
    }

    /**
     * Applies new members of the fleet and keeps the current view. Must be called on the loop's thread.
     *
     * @param ownership owners of the customers' rates
     */
    public void update(RateOwnership ownership) {
        peerRequests.update(view, ownership);
        sharedConnections.updateOwners(view, ownership);
        sharedConnections.updateLent(view);
        runPendingSteps();
    }

    /**
     * Returns the requests between this VM and the others.
     *
     * @return handler of the requests; must be used on the loop's thread
     */
    public PeerRequests peerRequests() {
        return peerRequests;
    }

    /**
     * Returns the use of database connections by several VMs.
     *
     * @return connections that are lent to and by other VMs; must be used on the loop's thread
     */
    public SharedConnections sharedConnections() {
        return sharedConnections;
    }

    /**
     * Sends an administrative command to a database. Must be called on the loop's thread.
     *
     * @param database receiver of the command
     * @param command command to send
     * @param timeout maximum wait for the reply
     * @return the reply; fails with {@link CommandNotSentException} if the command was not sent, and otherwise if no
     *     reply arrives in time
     */
    public CompletableFuture<BackendReply> sendCommand(
            BackendServerName database, BackendCommand command, Duration timeout) {
        CompletableFuture<BackendReply> result = administrativeCommands.send(database, command, timeout);
        runPendingSteps();
        return result;
    }

    /**
     * Ends the sessions that are owed nothing, and returns when the last one has ended and its answers have been passed
     * to the operating system. Must be called on the loop's thread, after the listener was closed.
     *
     * @return completes on the loop's thread
     */
    public CompletableFuture<Void> whenSessionsEnd() {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        log("-", "waiting for sessions", "sessions=" + sessions.size());
        sessionsEnded = Optional.of(ended);
        checkSessions();
        completeIfNoSessions(ended);
        return ended;
    }

    /** Completes a stop when neither a caller nor another VM uses this one. */
    void completeStopIfUnused() {
        sessionsEnded.ifPresent(this::completeIfNoSessions);
    }

    private void completeIfNoSessions(CompletableFuture<Void> ended) {
        if (sessions.isEmpty() && sharedConnections.lent().isUnused()) {
            ended.complete(null);
        }
    }

    /** Logs the sessions that are still open, and their statements. Called on the loop's thread before the exit. */
    public void logUnfinishedSessions() {
        log("-", "exit", "sessions=" + sessions.size());
        sessions.values().stream().limit(MAXIMUM_LOGGED_SESSIONS).forEach(CallerConnection::logUnfinished);
    }

    private void runInNextIteration(Runnable step) {
        loop.execute(() -> {
            step.run();
            runPendingSteps();
        });
    }

    private DatabaseConnectionPool connectionPoolFor(DatabaseEntry entry) {
        return connectionPools.computeIfAbsent(entry.name(), _ -> new DatabaseConnectionPool(this, entry));
    }

    boolean isConfigured() {
        return view.configuration().isKnown();
    }

    boolean isDraining() {
        return view.drain().filter(drain -> drain.hasStarted(now())).isPresent();
    }

    EventLoop loop() {
        return loop;
    }

    Instant now() {
        return clock.instant();
    }

    CallerProtocol callerProtocol() {
        return callerProtocol;
    }

    BackendProtocol backendProtocol() {
        return backendProtocol;
    }

    long firstRequestId() {
        return firstRequestId;
    }

    long nextConnectionId() {
        lastConnectionId++;
        return lastConnectionId;
    }

    TrafficView view() {
        return view;
    }

    int vmCount() {
        return view.vmCount();
    }

    int connectionLimit(GroupName group) {
        ServiceGroup settings = view.configuration().groups().get(group);
        return settings == null ? 1 : settings.connectionLimit();
    }

    DatabaseConnectionPool connectionPool(BackendServerName database) {
        return connectionPools.get(database);
    }

    HeldMemory memory() {
        return memory;
    }

    CallerConnections callerConnections() {
        return callerConnections;
    }

    NodeMetrics metrics() {
        return metrics;
    }

    void log(String request, String decision, String detail) {
        log.write("traffic", request, decision, detail);
    }

    SessionContext context(CallerSession session) {
        dropSamplesAfterClockJump();
        return session.group(view.configuration())
                .map(this::context)
                .orElseGet(() -> new SessionContext(view, PrimaryPositionHistory.NONE, Map.of(), now(), 0));
    }

    void dropSamplesAfterClockJump() {
        if (clockJumpDetector.hasJumped()) {
            positions.dropSamples();
            peerRequests.onClockJump();
            log("-", "clock jumped", "effect=\"positions of primaries are refreshed\"");
        }
    }

    private SessionContext context(GroupName group) {
        Instant now = now();
        Map<BackendServerName, DatabaseLoad> loads = new HashMap<>();
        for (BackendServerName database : view.directoryOf(group).databases().keySet()) {
            DatabaseLoad observed = sharedConnections.load(connectionPools.get(database));
            loads.put(database, balancer.complete(group, database, observed, now));
        }
        return new SessionContext(view, positions.historyOf(group), loads, now, balancer.nextRandom());
    }

    /** Returns the newest position of each primary that this VM watches. */
    Map<GroupName, PrimaryPositionHistory.Sample> watchedPositions() {
        return positions.latestSamples(view.watchedGroups());
    }

    /** Delivers an event to a session after the current step. */
    void deliver(long session, SessionEvent event) {
        pendingSteps.add(() -> deliverNow(session, event));
    }

    private void deliverNow(long session, SessionEvent event) {
        if (session == AdministrativeCommands.SESSION_ID) {
            administrativeCommands.apply(event);
            return;
        }
        if (session < AdministrativeCommands.SESSION_ID) {
            sharedConnections.lent().apply(session, event);
            return;
        }
        CallerConnection caller = sessions.get(session);
        if (caller != null) {
            caller.apply(event);
        }
    }

    /** Delivers the loss of a connection that is no evidence about the database. */
    void deliverLossByOwner(long session, SessionEvent.ConnectionLost event) {
        pendingSteps.add(() -> observations.runWithoutEvidence(() -> deliverNow(session, event)));
    }

    /** Delivers a granted slot after the current step, unless the session has cancelled its request by then. */
    void deliver(long session, LongPredicate confirmGrant, SessionEvent.SlotGranted granted) {
        pendingSteps.add(() -> {
            if (confirmGrant.test(granted.slotRequestId())) {
                deliverNow(session, granted);
            }
        });
    }

    /** Runs the pending steps. Called at the end of each callback. */
    void runPendingSteps() {
        Runnable next = pendingSteps.poll();
        while (next != null) {
            next.run();
            next = pendingSteps.poll();
        }
    }

    int sessionCount() {
        return sessions.size();
    }

    void removeSession(long session) {
        CallerConnection removed = sessions.remove(session);
        if (removed != null) {
            callerConnections.onClosed(removed);
        }
        sessionsEnded.ifPresent(this::completeIfNoSessions);
    }

    void replyToInvalid(CallerConnection caller, String reason) {
        log("-", "malformed message", "session=" + caller.session().id() + " reason=\"" + reason + "\"");
        SessionEvent.StatementReceived malformed =
                new SessionEvent.StatementReceived("-", new Statement.Malformed(reason));
        caller.apply(malformed);
    }

    void rejectInvalid(CallerConnection caller, String reason) {
        log("-", "connection refused", "session=" + caller.session().id() + " reason=\"" + reason + "\"");
        StatementResult.Failed failure = new StatementResult.Failed(ErrorCode.MALFORMED, "not a valid message here");
        caller.stream().send(callerProtocol.encodeRejected(failure));
        caller.stream().closeAfterFlush();
    }

    void execute(CallerConnection caller, SessionEffect effect) {
        switch (effect) {
            case SessionEffect.Accept _ -> caller.stream().send(callerProtocol.encodeAccepted());
            case SessionEffect.Reject reject -> {
                caller.stream().send(callerProtocol.encodeRejected(reject.failure()));
                caller.stream().closeAfterFlush();
            }
            case SessionEffect.Reply reply -> sendReply(caller, reply);
            case SessionEffect.CloseCallerConnection _ -> caller.closeAfterQueuedMessages();
            case SessionEffect.RequestRateToken tokenRequest ->
                peerRequests.admit(tokenRequest.tokenRequestId(), tokenRequest.customer(), tokenRequest.maximumWait());
            case SessionEffect.RequestSlot request -> requestSlot(request);
            case SessionEffect.CancelSlotRequest cancel -> cancelSlotRequest(cancel);
            case SessionEffect.ReleaseSlot release ->
                sharedConnections.of(release.database()).releaseSlot(release.slotRequestId());
            case SessionEffect.SendCommands send ->
                sharedConnections.of(send.database()).send(send.connectionId(), send.commands(), send.endsSlot());
            case SessionEffect.ReturnConnection returned ->
                sharedConnections
                        .of(returned.database())
                        .releaseConnection(returned.connectionId(), returned.rollbackRequired());
            case SessionEffect.CloseConnection close ->
                sharedConnections.of(close.database()).closeConnection(close.connectionId());
            case SessionEffect.RecordPrimaryPosition record -> recordPosition(record.group(), record.sample());
            case SessionEffect.RecordAcknowledgedCommit record ->
                positions.recordAcknowledgedCommit(record.group(), record.lowerBound());
            case SessionEffect.ReportObservation report -> observations.record(report.group(), report.observation());
            case SessionEffect.WakeAt wake -> scheduleWakeUp(caller, wake.at());
            case SessionEffect.CountKeyMove move -> metrics.keyMoved(move.outcome());
            case SessionEffect.Log line -> log(line.requestId(), line.decision(), line.detail());
        }
    }

    private void sendReply(CallerConnection caller, SessionEffect.Reply reply) {
        caller.stream().send(callerProtocol.encodeReply(reply));
        switch (reply.result()) {
            case StatementResult.Completed _ -> metrics.statementCompleted();
            case StatementResult.Failed failure -> metrics.statementFailed(failure.code());
        }
    }

    private void requestSlot(SessionEffect.RequestSlot request) {
        int weight = LOWEST_WEIGHT << Math.max(0, PRIORITY_COUNT - request.priority());
        SlotRequest slot = new SlotRequest(
                request.slotRequestId(), request.customer(), weight, 1, request.deadline(), request.holdsConnection());
        long session = CallerSession.sessionIdOf(request.slotRequestId());
        if (!connectionPools.containsKey(request.database())) {
            deliver(session, new SessionEvent.SlotRefused(request.slotRequestId(), "the database left", true));
            return;
        }
        if (!request.holdsConnection()) {
            balancer.countChoice(request.database());
        }
        sharedConnections.of(request.database()).requestSlot(slot, session);
    }

    void recordPosition(GroupName group, PrimaryPositionHistory.Sample sample) {
        positions.record(group, sample);
    }

    private void cancelSlotRequest(SessionEffect.CancelSlotRequest cancel) {
        if (connectionPools.containsKey(cancel.database())) {
            sharedConnections.of(cancel.database()).cancelRequest(cancel.slotRequestId());
        }
    }

    private void scheduleWakeUp(CallerConnection caller, Instant at) {
        loop.schedule(at, () -> {
            checkTime(caller);
            runPendingSteps();
        });
    }

    private void tick() {
        loop.schedule(now().plus(TICK_INTERVAL), this::tick);
        connectionPools.values().forEach(DatabaseConnectionPool::onTick);
        view.groups().forEach(primaryProber::probeIfDue);
        peerRequests.onTick();
        sharedConnections.onTick();
        memory.onTick();
        callerConnections.onTick();
        runPendingSteps();
        if (isDraining()) {
            checkSessions();
        }
        metrics.updateMemory(memory.total(), memory.pausedCount());
        metrics.updateState(sessionCount(), view.configuration().version());
        observer.onReport(report());
    }

    /**
     * Ends the sessions whose time has come, and what they do at evacuated databases. A statement that has arrived is
     * handled first: a connection that is closed with unread input is reset, and the statement would get no answer.
     */
    private void checkSessions() {
        for (CallerConnection caller : List.copyOf(sessions.values())) {
            try {
                checkTime(caller);
            } catch (RuntimeException e) {
                log(
                        "-",
                        "ending a session failed",
                        "session=" + caller.session().id() + " error=\"" + e + "\"");
                caller.stream().close("internal error: " + e);
            }
        }
        runPendingSteps();
    }

    private void checkTime(CallerConnection caller) {
        if (isDraining()) {
            caller.stream().receiveAvailable();
        }
        if (!caller.isDisconnected()) {
            caller.apply(new SessionEvent.TimePassed());
        }
    }

    private TrafficReport report() {
        Map<BackendServerName, DatabaseHealth> health = new HashMap<>();
        connectionPools.forEach((name, connectionPool) ->
                health.put(name, connectionPool.condition().health()));
        Map<GroupName, String> enforced = new HashMap<>();
        view.promotionFences()
                .forEach((group, fences) -> fences.newest().ifPresent(fence -> enforced.put(group, fence.promotion())));
        return new TrafficReport(
                health,
                positions.newestTerms(),
                positions.acknowledgedCommits(),
                enforced,
                positions.latestSamples(view.configuration().groups().keySet()));
    }
}
