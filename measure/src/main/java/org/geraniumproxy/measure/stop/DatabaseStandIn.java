package org.geraniumproxy.measure.stop;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumproxy.measure.process.DatabaseConnection;
import org.geraniumproxy.measure.process.ServedDatabase;
import org.geraniumproxy.measure.stop.DatabaseEvent.Step;

/** Stand-in of a database: accepts connections, lends its slots and records each step of a statement. */
final class DatabaseStandIn implements ServedDatabase, AutoCloseable {
    private final String id;
    private final boolean primary;
    private final DatabaseGroup group;
    private final Clock clock;
    private final RunJournal journal;
    private final ServerSocket server;
    private final Semaphore slots = new Semaphore(DatabaseGroup.SLOTS, true);
    private final AtomicLong lastConnection = new AtomicLong();

    DatabaseStandIn(
            String id,
            boolean primary,
            DatabaseGroup group,
            int port,
            Clock clock,
            RunJournal journal,
            ExecutorService executor)
            throws IOException {
        this.id = id;
        this.primary = primary;
        this.group = group;
        this.clock = clock;
        this.journal = journal;
        this.server = new ServerSocket(port, 256, InetAddress.getLoopbackAddress());
        executor.execute(() -> accept(executor));
    }

    @Override
    public String service() {
        return DatabaseGroup.SERVICE;
    }

    @Override
    public String id() {
        return id;
    }

    int port() {
        return server.getLocalPort();
    }

    @Override
    public boolean isPrimary() {
        return primary;
    }

    @Override
    public String position() {
        return group.position(primary);
    }

    @Override
    public boolean holds(String position) {
        return group.holds(primary, position);
    }

    @Override
    public void receive(String statement, long connection) {
        record(statement, connection, Step.RECEIVED);
    }

    @Override
    public void work(String statement, long connection, Duration time) throws InterruptedException {
        slots.acquire();
        try {
            record(statement, connection, Step.BEGUN);
            Thread.sleep(time);
            record(statement, connection, Step.ENDED);
        } finally {
            slots.release();
        }
    }

    @Override
    public Optional<String> commit(List<String> statements, long connection) {
        group.commit();
        statements.forEach(statement -> record(statement, connection, Step.COMMITTED));
        return Optional.empty();
    }

    @Override
    public String control(List<String> command) {
        return (primary ? "primary 3 " : "replica 3 ") + position() + " 0 8 0 1";
    }

    private void record(String statement, long connection, Step step) {
        if (!statement.equals("-")) {
            journal.add(new DatabaseEvent(statement, id, connection, step, clock.instant()));
        }
    }

    private void accept(ExecutorService executor) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                executor.execute(() -> new DatabaseConnection(this, lastConnection.incrementAndGet()).serve(socket));
            } catch (IOException e) {
                return; // the server was closed at the end of the run
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
