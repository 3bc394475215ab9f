package org.geraniumproxy.engine.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.caller.SessionEvent;
import org.geraniumproxy.core.caller.TransactionState;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.pool.SlotRequest;

/** Sends the VM's own commands to databases, through the same connection pools as the statements of callers. */
final class AdministrativeCommands {
    /** Session to which the slots of administrative commands belong. The sessions of callers are numbered from 1. */
    static final long SESSION_ID = 0;

    /** Above the weight of every customer, so that administrative commands come first in the queue for slots. */
    private static final int WEIGHT = 1000;

    private final TrafficEngine engine;
    private final Map<Long, PendingCommand> pendingCommands = new HashMap<>();
    private final Map<Long, Long> slotRequestIdsByConnection = new HashMap<>();
    private long lastSlotRequestId;

    /** A command without a reply; the connection is empty until the command is sent. */
    private record PendingCommand(
            BackendServerName database,
            BackendCommand command,
            CompletableFuture<BackendReply> result,
            OptionalLong connection) {
        PendingCommand withConnection(long connectionId) {
            return new PendingCommand(database, command, result, OptionalLong.of(connectionId));
        }
    }

    AdministrativeCommands(TrafficEngine engine) {
        this.engine = engine;
    }

    CompletableFuture<BackendReply> send(BackendServerName database, BackendCommand command, Duration timeout) {
        CompletableFuture<BackendReply> result = new CompletableFuture<>();
        DatabaseConnectionPool connectionPool = engine.connectionPool(database);
        if (connectionPool == null) {
            result.completeExceptionally(new CommandNotSentException("unknown database " + database));
            return result;
        }
        lastSlotRequestId++;
        long slotRequestId = lastSlotRequestId;
        Instant deadline = engine.now().plus(timeout);
        pendingCommands.put(slotRequestId, new PendingCommand(database, command, result, OptionalLong.empty()));
        engine.loop().schedule(deadline, () -> {
            expire(slotRequestId);
            engine.runPendingSteps();
        });
        connectionPool.requestSlot(
                new SlotRequest(slotRequestId, connectionPool.administrativeCustomer(), WEIGHT, 1, deadline, false),
                SESSION_ID);
        return result;
    }

    void apply(SessionEvent event) {
        switch (event) {
            case SessionEvent.SlotGranted granted -> sendCommand(granted);
            case SessionEvent.SlotRefused refused -> fail(refused.slotRequestId(), refused.reason());
            case SessionEvent.RepliesReceived replied -> complete(replied);
            case SessionEvent.ConnectionLost lost -> {
                Long slotRequestId = slotRequestIdsByConnection.get(lost.connectionId());
                if (slotRequestId != null) {
                    expire(slotRequestId);
                }
            }
            default -> throw new IllegalStateException("unexpected event of an administrative command");
        }
    }

    private void sendCommand(SessionEvent.SlotGranted granted) {
        PendingCommand pending = pendingCommands.get(granted.slotRequestId());
        DatabaseConnectionPool connectionPool = engine.connectionPool(pending.database());
        pendingCommands.put(granted.slotRequestId(), pending.withConnection(granted.connectionId()));
        slotRequestIdsByConnection.put(granted.connectionId(), granted.slotRequestId());
        connectionPool.send(granted.connectionId(), List.of(pending.command()), true);
    }

    private void complete(SessionEvent.RepliesReceived replied) {
        Long slotRequestId = slotRequestIdsByConnection.remove(replied.connectionId());
        PendingCommand pending = pendingCommands.remove(slotRequestId);
        BackendReply reply = replied.replies().getFirst();
        DatabaseConnectionPool connectionPool = engine.connectionPool(pending.database());
        connectionPool.releaseSlot(slotRequestId);
        connectionPool.releaseConnection(replied.connectionId(), reply.transactionState() != TransactionState.IDLE);
        pending.result().complete(reply);
    }

    private void expire(long slotRequestId) {
        PendingCommand pending = pendingCommands.get(slotRequestId);
        if (pending == null) {
            return;
        }
        DatabaseConnectionPool connectionPool = engine.connectionPool(pending.database());
        if (pending.connection().isPresent()) {
            long connection = pending.connection().getAsLong();
            slotRequestIdsByConnection.remove(connection);
            connectionPool.releaseSlot(slotRequestId);
            connectionPool.closeConnection(connection);
            fail(slotRequestId, "no answer in time");
        } else {
            connectionPool.cancelRequest(slotRequestId);
            fail(slotRequestId, "not sent in time");
        }
    }

    private void fail(long slotRequestId, String reason) {
        PendingCommand pending = pendingCommands.remove(slotRequestId);
        if (pending == null) {
            return;
        }
        String message = "database " + pending.database() + ": " + reason;
        pending.result()
                .completeExceptionally(
                        pending.connection().isPresent()
                                ? new IllegalStateException(message)
                                : new CommandNotSentException(message));
    }
}
