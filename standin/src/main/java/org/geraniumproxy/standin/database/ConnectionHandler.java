package org.geraniumproxy.standin.database;

import io.grpc.Status;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.protocol.ConnectionReply;
import org.geraniumproxy.protocol.ConnectionRequest;
import org.geraniumproxy.standin.runtime.ReplyStream;

/** Runs the commands of one connection in order, one at a time. Confined to the executor. */
final class ConnectionHandler {
    private final DatabaseNode node;
    private final ReplyStream<ConnectionReply> reply;
    private final String name;
    private final Queue<ConnectionRequest> queuedRequests = new ArrayDeque<>();
    private Optional<Transaction> transaction = Optional.empty();
    private boolean busy = true;
    private boolean requestsCompleted;
    private boolean closed;
    private boolean transactionAborted;

    ConnectionHandler(DatabaseNode node, ReplyStream<ConnectionReply> reply) {
        this.node = node;
        this.reply = reply;
        this.name = node.name() + "#" + node.connections().nextConnectionNumber();
    }

    /** Opens the connection after the configured delay, or rejects it if the database has no connection left. */
    void open() {
        if (node.statementHistory().openConnections() >= node.settings().connections()) {
            closed = true;
            reply.fail(Status.RESOURCE_EXHAUSTED.withDescription("no connection left"));
            return;
        }
        node.connections().add(this);
        node.statementHistory().connectionOpened();
        runAfter(node.settings().connectionCost(), this::onOpened);
    }

    void receive(ConnectionRequest request) {
        if (closed || !node.isReachable()) {
            return;
        }
        queuedRequests.add(request);
        runNext();
    }

    void requestsCompleted() {
        requestsCompleted = true;
        runNext();
    }

    /**
     * Closes the connection and rolls back its transaction because the client disconnected. An isolated database
     * doesn't notice the disconnect.
     */
    void cancelled() {
        if (!node.faultFilter().faults().isolated()) {
            close();
        }
    }

    void fail() {
        reply.fail(Status.UNAVAILABLE.withDescription("connection lost"));
        close();
    }

    /**
     * Rolls back the open transaction because the term or role of the database changed. The next command is refused.
     */
    void abortTransaction() {
        transactionAborted |= transaction.isPresent();
        transaction = Optional.empty();
    }

    private void close() {
        closed = true;
        transaction = Optional.empty();
        queuedRequests.clear();
        if (node.connections().remove(this)) {
            node.statementHistory().connectionClosed();
        }
    }

    private void onOpened() {
        busy = false;
        runNext();
    }

    private void runNext() {
        if (closed || busy) {
            return;
        }
        ConnectionRequest request = queuedRequests.poll();
        if (request != null) {
            busy = true;
            run(request);
        } else if (requestsCompleted) {
            reply.complete();
            close();
        }
    }

    private void run(ConnectionRequest request) {
        node.recordReceived(name, commandText(request), request.getCustomer(), request.getTerm());
        if (request.getCommandCase() != ConnectionRequest.CommandCase.STATEMENT) {
            runIfTermMatches(request, () -> runControl(request));
            return;
        }
        if (node.statementHistory().usedSlots() >= node.settings().slots()) {
            refuse(request, "busy");
            return;
        }
        node.statementHistory().slotTaken();
        boolean inTransaction = transaction.isPresent();
        runAfter(node.settings().statementTime(), () -> {
            node.statementHistory().slotReleased();
            // Closing the connection rolled back its transaction, but a statement outside a transaction still
            // completes.
            if (!closed || !inTransaction) {
                runIfTermMatches(request, () -> runStatement(request));
            }
        });
    }

    private void runIfTermMatches(ConnectionRequest request, Runnable command) {
        if (!node.database().servesTerm(termOf(request))) {
            transaction = Optional.empty();
            transactionAborted = false;
            refuse(request, "statement of another term");
            return;
        }
        if (transactionAborted) {
            transactionAborted = false;
            refuse(request, "transaction was rolled back");
            return;
        }
        try {
            command.run();
        } catch (StatementException e) {
            refuse(request, e.getMessage());
        }
    }

    private void runStatement(ConnectionRequest request) {
        Statement statement = Statement.parse(request.getStatement());
        if (transaction.isPresent()) {
            List<String> rows = node.database()
                    .runInTransaction(transaction.orElseThrow(), statement, request.getStatement(), request.getWrite());
            answer(request, rows, node.database().position(), false);
            return;
        }
        Database.StatementResult result = node.database().run(statement, request.getStatement(), request.getWrite());
        answer(request, result.rows(), result.position(), statement.isWrite());
    }

    private void runControl(ConnectionRequest request) {
        switch (request.getCommandCase()) {
            case BEGIN -> begin();
            case COMMIT -> {
                commit(request);
                return;
            }
            case ROLLBACK -> transaction = Optional.empty();
            default -> throw new StatementException("no command");
        }
        answer(request, List.of(), node.database().position(), false);
    }

    private void begin() {
        if (transaction.isPresent()) {
            throw new StatementException("a transaction is already open");
        }
        transaction = Optional.of(new Transaction(node.database().replicatingTerm()));
    }

    private void commit(ConnectionRequest request) {
        Transaction open = transaction.orElseThrow(() -> new StatementException("no transaction is open"));
        transaction = Optional.empty();
        LogPosition position = node.database().commit(open);
        answer(request, List.of(), position, !open.writes().isEmpty());
    }

    private void answer(ConnectionRequest request, List<String> rows, LogPosition position, boolean changed) {
        busy = false;
        if (changed) {
            node.onLogChanged();
        }
        if (changed && node.faultFilter().loseReply(reply)) {
            close();
            return;
        }
        if (!node.faultFilter().suppressReply(reply)) {
            rows.forEach(row -> reply.send(MessageCodec.row(request.getRequestNumber(), row)));
            reply.send(MessageCodec.end(request.getRequestNumber(), rows.size(), position, transaction.isPresent()));
        }
        runNext();
    }

    private void refuse(ConnectionRequest request, String reason) {
        busy = false;
        if (!node.faultFilter().suppressReply(reply)) {
            reply.send(MessageCodec.refusal(
                    request.getRequestNumber(), reason, node.database().fencedTerm(), transaction.isPresent()));
        }
        runNext();
    }

    private void runAfter(Duration delay, Runnable task) {
        Duration totalDelay = delay.plus(node.faultFilter().faults().delay());
        if (totalDelay.isZero()) {
            task.run();
        } else {
            node.executor().schedule(totalDelay, task);
        }
    }

    private static Term termOf(ConnectionRequest request) {
        return request.getTerm() < 0 ? Term.NONE : Term.of(request.getTerm());
    }

    private static String commandText(ConnectionRequest request) {
        return switch (request.getCommandCase()) {
            case STATEMENT -> request.getStatement();
            case BEGIN -> "BEGIN";
            case COMMIT -> "COMMIT";
            case ROLLBACK -> "ROLLBACK";
            case COMMAND_NOT_SET -> "";
        };
    }
}
