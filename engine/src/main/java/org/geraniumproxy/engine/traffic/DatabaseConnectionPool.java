package org.geraniumproxy.engine.traffic;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.caller.CallerSession;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.caller.DatabaseLoad;
import org.geraniumproxy.core.caller.ErrorCode;
import org.geraniumproxy.core.caller.SessionEvent;
import org.geraniumproxy.core.caller.StatementResult;
import org.geraniumproxy.core.caller.TransactionState;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.directory.DatabaseCondition;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.pool.ConnectionRole;
import org.geraniumproxy.core.pool.CustomerPool;
import org.geraniumproxy.core.pool.CustomerPoolEffect;
import org.geraniumproxy.core.pool.CustomerPoolEvent;
import org.geraniumproxy.core.pool.CustomerPoolView;
import org.geraniumproxy.core.pool.PoolLoad;
import org.geraniumproxy.core.pool.SlotRequest;
import org.geraniumproxy.engine.loop.SocketAddresses;

/**
 * Connections of this VM to one database. Applies events to the state of the pool and executes the resulting effects.
 */
final class DatabaseConnectionPool implements ConnectionSource, BackendConnection.Listener {
    /**
     * Allows for several round trips between regions and for waiting for the slot that the opening of a connection
     * takes.
     */
    private static final Duration OPENING_TIMEOUT = Duration.ofMillis(1500);

    /**
     * Idle time after which a connection beyond this VM's share is closed; the duration of a few statements of a busy
     * customer.
     */
    private static final Duration SURPLUS_IDLE_TIMEOUT = Duration.ofMillis(400);

    private final TrafficEngine engine;
    private final Map<Long, BackendConnection> connections = new HashMap<>();
    private final Deque<BackendConnection> idleConnections = new ArrayDeque<>();
    private final Map<Long, Long> sessionsByConnection = new HashMap<>();
    private final Set<Long> rollingBack = new LinkedHashSet<>();
    private final Set<Long> queuedRequests = new LinkedHashSet<>();
    private final Map<Long, UndeliveredGrant> undeliveredGrants = new HashMap<>();
    private DatabaseEntry entry;
    private CustomerPool poolState = CustomerPool.initial();
    private DatabaseCondition condition = DatabaseCondition.UNUSED;
    private boolean removed;
    private boolean probeInFlight;

    /** Connection of a granted slot, and whether the session held the connection already. */
    private record UndeliveredGrant(long connectionId, boolean heldBefore) {}

    DatabaseConnectionPool(TrafficEngine engine, DatabaseEntry entry) {
        this.engine = engine;
        this.entry = entry;
    }

    DatabaseEntry entry() {
        return entry;
    }

    DatabaseCondition condition() {
        return condition;
    }

    DatabaseLoad load() {
        return DatabaseLoad.observed(
                poolState.outstandingStatements(),
                condition.latency(),
                condition.avoidUntil(),
                poolState.customersWithIdleConnections());
    }

    /**
     * Applies a newer entry of the database. If the database was restarted or moved, idle connections are closed
     * because the database no longer knows them.
     */
    void update(DatabaseEntry newest) {
        boolean replaced = newest.startedAtMilliseconds() != entry.startedAtMilliseconds()
                || !newest.address().equals(entry.address());
        entry = newest;
        removed = false;
        if (replaced) {
            closeIdleConnections("the database was restarted");
        }
    }

    /**
     * Stops sending statements to the database: refuses queued requests, which are then placed on another database, and
     * closes idle connections. As long as requests wait, new connections would be opened in place of the closed ones.
     * Administrative commands go on, because the database may still run.
     */
    void remove() {
        removed = true;
        refuse(
                queuedRequests.stream()
                        .filter(request -> CallerSession.sessionIdOf(request) != AdministrativeCommands.SESSION_ID)
                        .toList(),
                "the database left");
        closeIdleConnectionsIfRemoved();
    }

    boolean isRemoved() {
        return removed;
    }

    boolean isUnused() {
        return connections.isEmpty();
    }

    @Override
    public void requestSlot(SlotRequest request, long session) {
        if (removed && session != AdministrativeCommands.SESSION_ID) {
            engine.deliver(session, new SessionEvent.SlotRefused(request.id(), "the database left", true));
            return;
        }
        queuedRequests.add(request.id());
        apply(new CustomerPoolEvent.SlotRequested(request));
    }

    @Override
    public void cancelRequest(long slotRequestId) {
        if (queuedRequests.remove(slotRequestId)) {
            apply(new CustomerPoolEvent.RequestsCancelled(List.of(slotRequestId)));
            return;
        }
        UndeliveredGrant granted = undeliveredGrants.remove(slotRequestId);
        if (granted != null) {
            releaseSlot(slotRequestId);
            if (!granted.heldBefore()) {
                releaseConnection(granted.connectionId(), false);
            }
        }
    }

    @Override
    public boolean confirmGrant(long slotRequestId) {
        return undeliveredGrants.remove(slotRequestId) != null;
    }

    @Override
    public void releaseSlot(long slotRequestId) {
        apply(new CustomerPoolEvent.SlotReleased(slotRequestId));
    }

    @Override
    public void send(long connectionId, List<BackendCommand> commands, boolean endsSlot) {
        connections.get(connectionId).send(commands);
    }

    /** Sends commands of another VM, and keeps the replies in their encoded form for it. */
    void sendEncoded(long connectionId, int replies, ByteBuffer commands) {
        connections.get(connectionId).sendEncoded(replies, commands);
    }

    /** Returns the replies to the commands of another VM. */
    ByteBuffer takeEncodedReplies(long connectionId) {
        condition = condition.answered(engine.now());
        return connections.get(connectionId).takeEncodedReplies();
    }

    /** Returns the load of the database, as far as its statements pass this VM. */
    PoolLoad poolLoad() {
        return poolState.load();
    }

    /** Takes a connection back that another VM has used, and that is in the given state. */
    void releaseLentConnection(long connectionId, ConnectionState state, boolean rollback) {
        BackendConnection connection = connections.get(connectionId);
        if (connection != null) {
            connection.adoptState(state);
        }
        releaseConnection(connectionId, rollback);
    }

    @Override
    public void releaseConnection(long connectionId, boolean rollback) {
        BackendConnection connection = connections.get(connectionId);
        sessionsByConnection.remove(connectionId);
        if (connection == null) {
            return;
        }
        if (rollback) {
            rollingBack.add(connectionId);
            connection.send(List.of(new BackendCommand.Rollback()));
        } else {
            addIdle(connection);
        }
    }

    @Override
    public void closeConnection(long connectionId) {
        sessionsByConnection.remove(connectionId);
        BackendConnection connection = connections.remove(connectionId);
        if (connection != null) {
            connection.discard("the state of the connection is unknown");
            apply(new CustomerPoolEvent.ConnectionReturned(connection.customer(), false));
        }
    }

    void onTick() {
        apply(new CustomerPoolEvent.TimePassed());
        closeIdleConnectionsIfRemoved();
    }

    void recordReply(Duration latency, boolean acknowledgedCommit) {
        condition = condition.answered(latency, acknowledgedCommit, engine.now());
    }

    void recordFailure(boolean commit) {
        engine.metrics().databaseUnresponsive();
        condition = condition.failed(commit, engine.now());
        closeIdleConnections("another connection to the database does not respond");
    }

    /** Starts a probe unless one is in progress or the database has answered since the given time. */
    boolean tryStartProbe(Instant since) {
        if (probeInFlight || condition.hasAnsweredSince(since)) {
            return false;
        }
        probeInFlight = true;
        return true;
    }

    void endProbe(boolean succeeded) {
        probeInFlight = false;
        if (succeeded) {
            condition = condition.answered(engine.now());
        } else {
            recordFailure(false);
        }
    }

    /**
     * Customer on whose behalf administrative commands are sent: that of an idle connection, so that no new connection
     * is opened.
     */
    CustomerName administrativeCustomer() {
        return idleConnections.isEmpty()
                ? CallerSession.ANONYMOUS
                : idleConnections.peek().customer();
    }

    void recordLag() {
        condition = condition.lagging(engine.now());
    }

    @Override
    public void onOpened(BackendConnection connection) {
        engine.metrics().connectionOpening(true);
        connection.recordReplyAt(engine.now());
        condition = condition.answered(engine.now());
        idleConnections.push(connection);
        apply(new CustomerPoolEvent.ConnectionOpened(connection.customer()));
        closeIdleConnectionsIfRemoved();
        engine.runPendingSteps();
    }

    @Override
    public void onOpeningRefused(BackendConnection connection, BackendReply reply) {
        String text = reply.result() instanceof StatementResult.Failed failure
                ? failure.code() + " " + failure.text()
                : "the database is not ready";
        boolean limitReached = reply.result() instanceof StatementResult.Failed failure
                && (failure.code() == ErrorCode.CONNECTION_LIMIT || failure.code() == ErrorCode.BUSY);
        if (limitReached) {
            condition = condition.answered(engine.now());
        }
        handleOpeningFailure(connection, text, limitReached);
        engine.runPendingSteps();
    }

    @Override
    public void onReplies(BackendConnection connection, List<BackendReply> replies) {
        connection.recordReplyAt(engine.now());
        if (rollingBack.remove(connection.id())) {
            BackendReply last = replies.getLast();
            if (last.isCompleted() && last.transactionState() == TransactionState.IDLE) {
                addIdle(connection);
            } else {
                closeConnection(connection.id());
            }
        } else {
            Long session = sessionsByConnection.get(connection.id());
            engine.deliver(session, new SessionEvent.RepliesReceived(connection.id(), replies));
        }
        engine.runPendingSteps();
    }

    @Override
    public void onLost(BackendConnection connection, String reason) {
        if (isOpening(connection)) {
            handleOpeningFailure(connection, reason, false);
            engine.runPendingSteps();
            return;
        }
        engine.log("-", "connection lost", "database=" + entry.name() + " reason=\"" + reason + "\"");
        Long session = sessionsByConnection.get(connection.id());
        if (session != null) {
            engine.deliver(session, new SessionEvent.ConnectionLost(connection.id()));
        } else if (rollingBack.remove(connection.id())) {
            connections.remove(connection.id());
            apply(new CustomerPoolEvent.ConnectionReturned(connection.customer(), false));
        } else if (idleConnections.remove(connection)) {
            connections.remove(connection.id());
            apply(new CustomerPoolEvent.IdleConnectionsLost(List.of(connection.customer())));
        }
        engine.runPendingSteps();
    }

    private boolean isOpening(BackendConnection connection) {
        return connections.containsKey(connection.id())
                && !sessionsByConnection.containsKey(connection.id())
                && !rollingBack.contains(connection.id())
                && !idleConnections.contains(connection);
    }

    private void addIdle(BackendConnection connection) {
        if (removed || !connection.isStateKnown() || !connection.state().isWorthKeeping()) {
            closeConnection(connection.id());
            return;
        }
        idleConnections.push(connection);
        apply(new CustomerPoolEvent.ConnectionReturned(connection.customer(), true));
    }

    private void handleOpeningFailure(BackendConnection connection, String reason, boolean limitReached) {
        engine.log("-", "connection not opened", "database=" + entry.name() + " reason=\"" + reason + "\"");
        engine.metrics().connectionOpening(false);
        connections.remove(connection.id());
        apply(new CustomerPoolEvent.OpeningFailed(connection.customer(), limitReached));
        if (!limitReached) {
            condition = condition.failed(false, engine.now());
            if (connections.values().stream().noneMatch(BackendConnection::isOpen)) {
                refuseQueuedRequests("no connection to the database");
            }
        }
    }

    private void refuseQueuedRequests(String reason) {
        refuse(List.copyOf(queuedRequests), reason);
    }

    private void refuse(List<Long> refused, String reason) {
        if (refused.isEmpty()) {
            return;
        }
        queuedRequests.removeAll(refused);
        apply(new CustomerPoolEvent.RequestsCancelled(refused));
        for (long slotRequestId : refused) {
            engine.deliver(
                    CallerSession.sessionIdOf(slotRequestId),
                    new SessionEvent.SlotRefused(slotRequestId, reason, true));
        }
    }

    /** Closes connections that were still being opened when the database left, unless a command waits for a slot. */
    private void closeIdleConnectionsIfRemoved() {
        if (removed && queuedRequests.isEmpty()) {
            closeIdleConnections("the database left");
        }
    }

    private void closeIdleConnections(String reason) {
        if (idleConnections.isEmpty()) {
            return;
        }
        List<BackendConnection> closed = List.copyOf(idleConnections);
        idleConnections.clear();
        for (BackendConnection connection : closed) {
            connections.remove(connection.id());
            connection.discard(reason);
        }
        apply(new CustomerPoolEvent.IdleConnectionsLost(
                closed.stream().map(BackendConnection::customer).toList()));
    }

    private void apply(CustomerPoolEvent event) {
        Transition<CustomerPool, CustomerPoolEffect> transition = poolState.on(event, view(), engine.now());
        poolState = transition.state();
        for (CustomerPoolEffect effect : transition.effects()) {
            execute(effect);
        }
    }

    private CustomerPoolView view() {
        return switch (engine.sharedConnections().role(entry)) {
            case ConnectionRole.Divided _ ->
                CustomerPoolView.of(
                        entry.slots(), engine.connectionLimit(entry.group()), engine.vmCount(), SURPLUS_IDLE_TIMEOUT);
            case ConnectionRole.Owner owner ->
                CustomerPoolView.ofOwner(entry.slots(), owner.connections(), SURPLUS_IDLE_TIMEOUT);
            case ConnectionRole.User _ -> CustomerPoolView.ofUser(entry.slots(), SURPLUS_IDLE_TIMEOUT);
        };
    }

    private void execute(CustomerPoolEffect effect) {
        switch (effect) {
            case CustomerPoolEffect.Grant grant -> grant(grant.request());
            case CustomerPoolEffect.Refuse refuse -> {
                long slotRequestId = refuse.request().id();
                queuedRequests.remove(slotRequestId);
                engine.deliver(
                        CallerSession.sessionIdOf(slotRequestId),
                        new SessionEvent.SlotRefused(slotRequestId, "slot " + refuse.reason(), false));
            }
            case CustomerPoolEffect.Open open -> openConnection(open.customer());
            case CustomerPoolEffect.CloseIdle close -> {
                BackendConnection connection = leastRecentlyUsedIdle(close.customer());
                idleConnections.remove(connection);
                connections.remove(connection.id());
                connection.discard("surplus idle connection");
            }
        }
    }

    private BackendConnection mostRecentlyUsedIdle(CustomerName customer) {
        return idleConnections.stream()
                .filter(connection -> connection.customer().equals(customer))
                .findFirst()
                .orElseThrow();
    }

    private BackendConnection leastRecentlyUsedIdle(CustomerName customer) {
        return idleConnections.reversed().stream()
                .filter(connection -> connection.customer().equals(customer))
                .findFirst()
                .orElseThrow();
    }

    private void grant(SlotRequest request) {
        long session = CallerSession.sessionIdOf(request.id());
        queuedRequests.remove(request.id());
        if (request.holdsConnection()) {
            for (Map.Entry<Long, Long> held : sessionsByConnection.entrySet()) {
                if (held.getValue() == session) {
                    grant(request, session, connections.get(held.getKey()));
                    return;
                }
            }
            throw new IllegalStateException("the session holds no connection to this database");
        }
        BackendConnection connection = mostRecentlyUsedIdle(request.customer());
        idleConnections.remove(connection);
        sessionsByConnection.put(connection.id(), session);
        grant(request, session, connection);
    }

    private void grant(SlotRequest request, long session, BackendConnection connection) {
        undeliveredGrants.put(request.id(), new UndeliveredGrant(connection.id(), request.holdsConnection()));
        engine.deliver(
                session,
                this::confirmGrant,
                new SessionEvent.SlotGranted(request.id(), connection.id(), connection.state()));
    }

    private void openConnection(CustomerName customer) {
        byte[] openingRequest = engine.backendProtocol().encodeOpening(entry.group(), customer, entry.name());
        BackendConnection connection = new BackendConnection(
                engine.nextConnectionId(), customer, this, engine.backendProtocol(), openingRequest, engine.memory());
        connections.put(connection.id(), connection);
        connection.attach(engine.loop().connect(SocketAddresses.parse(entry.address()), connection));
        engine.loop().schedule(engine.now().plus(OPENING_TIMEOUT), () -> {
            if (isOpening(connection)) {
                connection.discard("opening timed out");
                handleOpeningFailure(connection, "opening timed out", false);
                engine.runPendingSteps();
            }
        });
    }
}
