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
import org.geraniumproxy.standin.runtime.Reply;

/** One connection: runs its commands one after another. Confined to the owner. */
final class ConnectionHandler {
    private final DatabaseHost host;
    private final Reply<ConnectionReply> reply;
    private final String name;
    private final Queue<ConnectionRequest> waiting = new ArrayDeque<>();
    private Optional<Transaction> transaction = Optional.empty();
    private boolean occupied = true;
    private boolean inputEnded;
    private boolean closed;
    private boolean transactionLost;

    ConnectionHandler(DatabaseHost host, Reply<ConnectionReply> reply) {
        this.host = host;
        this.reply = reply;
        this.name = host.name() + "#" + host.connections().nextNumber();
    }

    /** Opens the connection, or refuses it at the limit of connections. */
    void open() {
        if (host.record().connections() >= host.settings().connections()) {
            closed = true;
            reply.fail(Status.RESOURCE_EXHAUSTED.withDescription("no connection left"));
            return;
        }
        host.connections().add(this);
        host.record().connectionOpened();
        after(host.settings().connectionCost(), this::ready);
    }

    void command(ConnectionRequest request) {
        if (closed || !host.isReachable()) {
            return;
        }
        waiting.add(request);
        runNext();
    }

    void inputEnded() {
        inputEnded = true;
        runNext();
    }

    /** Closes the connection because its caller is gone; an open transaction is rolled back. */
    void cancelled() {
        if (!host.gate().faults().isolated()) {
            close();
        }
    }

    void fail() {
        reply.fail(Status.UNAVAILABLE.withDescription("connection lost"));
        close();
    }

    /** Rolls back the open transaction because the database changed its term or role. */
    void dropTransaction() {
        transactionLost |= transaction.isPresent();
        transaction = Optional.empty();
    }

    private void close() {
        closed = true;
        transaction = Optional.empty();
        waiting.clear();
        if (host.connections().remove(this)) {
            host.record().connectionClosed();
        }
    }

    private void ready() {
        occupied = false;
        runNext();
    }

    private void runNext() {
        if (closed || occupied) {
            return;
        }
        ConnectionRequest request = waiting.poll();
        if (request != null) {
            occupied = true;
            run(request);
        } else if (inputEnded) {
            reply.complete();
            close();
        }
    }

    private void run(ConnectionRequest request) {
        host.receive(name, text(request), request.getCustomer(), request.getTerm());
        if (request.getCommandCase() != ConnectionRequest.CommandCase.STATEMENT) {
            runGuarded(request, () -> runControl(request));
            return;
        }
        if (host.record().slots() >= host.settings().slots()) {
            refuse(request, "busy");
            return;
        }
        host.record().slotTaken();
        boolean inTransaction = transaction.isPresent();
        after(host.settings().statementTime(), () -> {
            host.record().slotReleased();
            // The transaction of a closed connection was rolled back; a lone statement runs to its end.
            if (!closed || !inTransaction) {
                runGuarded(request, () -> runStatement(request));
            }
        });
    }

    private void runGuarded(ConnectionRequest request, Runnable command) {
        if (!host.database().serves(termOf(request))) {
            transaction = Optional.empty();
            transactionLost = false;
            refuse(request, "statement of another term");
            return;
        }
        if (transactionLost) {
            transactionLost = false;
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
            List<String> rows = host.database()
                    .runIn(transaction.orElseThrow(), statement, request.getStatement(), request.getWrite());
            answer(request, rows, host.database().position(), false);
            return;
        }
        Database.Ran ran = host.database().run(statement, request.getStatement(), request.getWrite());
        answer(request, ran.rows(), ran.position(), statement.isWrite());
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
        answer(request, List.of(), host.database().position(), false);
    }

    private void begin() {
        if (transaction.isPresent()) {
            throw new StatementException("a transaction is already open");
        }
        transaction = Optional.of(new Transaction(host.database().replicatingTerm()));
    }

    private void commit(ConnectionRequest request) {
        Transaction open = transaction.orElseThrow(() -> new StatementException("no transaction is open"));
        transaction = Optional.empty();
        LogPosition position = host.database().commit(open);
        answer(request, List.of(), position, !open.writes().isEmpty());
    }

    private void answer(ConnectionRequest request, List<String> rows, LogPosition position, boolean changed) {
        occupied = false;
        if (changed) {
            host.logChanged();
        }
        if (changed && host.gate().loses(reply)) {
            close();
            return;
        }
        if (!host.gate().holds(reply)) {
            rows.forEach(row -> reply.send(Messages.row(request.getRequestNumber(), row)));
            reply.send(Messages.end(request.getRequestNumber(), rows.size(), position, transaction.isPresent()));
        }
        runNext();
    }

    private void refuse(ConnectionRequest request, String reason) {
        occupied = false;
        if (!host.gate().holds(reply)) {
            reply.send(Messages.refusal(
                    request.getRequestNumber(), reason, host.database().fencedTerm(), transaction.isPresent()));
        }
        runNext();
    }

    private void after(Duration delay, Runnable task) {
        Duration total = delay.plus(host.gate().faults().delay());
        if (total.isZero()) {
            task.run();
        } else {
            host.owner().schedule(total, task);
        }
    }

    private static Term termOf(ConnectionRequest request) {
        return request.getTerm() < 0 ? Term.NONE : Term.of(request.getTerm());
    }

    private static String text(ConnectionRequest request) {
        return switch (request.getCommandCase()) {
            case STATEMENT -> request.getStatement();
            case BEGIN -> "BEGIN";
            case COMMIT -> "COMMIT";
            case ROLLBACK -> "ROLLBACK";
            case COMMAND_NOT_SET -> "";
        };
    }
}
