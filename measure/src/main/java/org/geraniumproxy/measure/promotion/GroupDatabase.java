package org.geraniumproxy.measure.promotion;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.measure.process.DatabaseConnection;
import org.geraniumproxy.measure.process.ServedDatabase;

/** Database of a group: accepts connections of nodes unless it has crashed or can't be reached. */
final class GroupDatabase implements ServedDatabase, AutoCloseable {
    private final String id;
    private final ReplicationGroup group;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final AtomicLong lastConnection = new AtomicLong();
    private volatile boolean reachable = true;
    private volatile Duration commandDelay = Duration.ZERO;

    GroupDatabase(String id, ReplicationGroup group, int port, Executor executor) throws IOException {
        this.id = id;
        this.group = group;
        this.server = new ServerSocket(port, 256, InetAddress.getLoopbackAddress());
        executor.execute(() -> accept(executor));
    }

    int port() {
        return server.getLocalPort();
    }

    /** Lets nodes connect, or closes their connections and all new ones. Replication goes on. */
    void setReachable(boolean value) throws IOException {
        reachable = value;
        if (!value) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Sets how late commands that stop or resume replication, or end the lead, are carried out. */
    void setCommandDelay(Duration delay) {
        commandDelay = delay;
    }

    @Override
    public String service() {
        return ReplicationGroup.SERVICE;
    }

    @Override
    public String id() {
        return id;
    }

    @Override
    public boolean isPrimary() {
        return group.state().leads(id);
    }

    @Override
    public String position() {
        return Optional.ofNullable(group.state().find(id))
                .map(state -> text(state.log().last()))
                .orElse("-");
    }

    @Override
    public boolean holds(String position) {
        String[] parts = position.split("\\.", -1);
        LogPosition wanted = LogPosition.of(Long.parseLong(parts[0]), Long.parseLong(parts[1]));
        return Optional.ofNullable(group.state().find(id))
                .filter(state -> state.log().contains(wanted))
                .isPresent();
    }

    @Override
    public void receive(String statement, long connection) {
        // Only commits are recorded, by the group.
    }

    @Override
    public void work(String statement, long connection, Duration time) throws InterruptedException {
        Thread.sleep(time);
    }

    @Override
    public Optional<String> commit(List<String> statements, long connection) throws InterruptedException {
        return group.commit(id);
    }

    @Override
    public String control(List<String> command) throws InterruptedException {
        if (!command.getFirst().equals("STATUS")) {
            Thread.sleep(commandDelay);
        }
        DatabaseState state = group.control(id, command);
        return state == null
                ? "replica 0 0.0 0 0 0 0"
                : (state.primary() ? "primary " : "replica ") + state.term() + " "
                        + text(state.log().last()) + " " + state.heldTerm() + " 0 0 " + sockets.size();
    }

    private static String text(LogPosition position) {
        return position.term().number() + "." + position.position();
    }

    private void accept(Executor executor) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                executor.execute(() -> serve(socket));
            } catch (IOException e) {
                return; // the server was closed
            }
        }
    }

    private void serve(Socket socket) {
        sockets.add(socket);
        try (socket) {
            if (reachable) {
                new DatabaseConnection(this, lastConnection.incrementAndGet()).serve(socket);
            }
        } catch (IOException e) {
            return; // the socket had been closed
        } finally {
            sockets.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        setReachable(false);
    }
}
