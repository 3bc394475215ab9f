package org.geraniumproxy.measure.promotion;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.measure.process.DatabaseConnection;
import org.geraniumproxy.measure.process.PortAllocator;
import org.geraniumproxy.measure.process.ServedDatabase;

/** Database of a group. It has an address for each node, so that some nodes can be cut off from it. */
final class GroupDatabase implements ServedDatabase, AutoCloseable {
    private final String id;
    private final ReplicationGroup group;
    private final List<ServerSocket> servers = new ArrayList<>();
    private final Map<Socket, Integer> nodes = new ConcurrentHashMap<>();
    private final AtomicLong lastConnection = new AtomicLong();
    private volatile Set<Integer> cutOff = Set.of();
    private volatile Duration commandDelay = Duration.ZERO;

    GroupDatabase(String id, ReplicationGroup group, PortAllocator ports, Executor executor) throws IOException {
        this.id = id;
        this.group = group;
        // The list of servers is indexed by node, and the iteration order of a set is not defined.
        for (int i = 0; i < PromotionRun.NODES.size(); i++) {
            int node = i;
            ServerSocket server = new ServerSocket(ports.allocate(), 256, InetAddress.getLoopbackAddress());
            servers.add(server);
            executor.execute(() -> accept(server, node, executor));
        }
    }

    /** Returns the address that a node connects to. */
    String address(int node) {
        return "127.0.0.1:" + servers.get(node).getLocalPort();
    }

    /** Closes the connections of these nodes and all new ones, and lets the others connect. Replication goes on. */
    void cutOff(Set<Integer> newCutOff) throws IOException {
        cutOff = Set.copyOf(newCutOff);
        for (Map.Entry<Socket, Integer> connection : nodes.entrySet()) {
            if (newCutOff.contains(connection.getValue())) {
                connection.getKey().close();
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
        return group.commit(id, id + "." + statements.getLast());
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
                        + text(state.log().last()) + " " + state.heldTerm() + " 0 0 " + nodes.size();
    }

    private static String text(LogPosition position) {
        return position.term().number() + "." + position.position();
    }

    private void accept(ServerSocket server, int node, Executor executor) {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                executor.execute(() -> serve(socket, node));
            } catch (IOException e) {
                return; // the server was closed
            }
        }
    }

    private void serve(Socket socket, int node) {
        nodes.put(socket, node);
        try (socket) {
            if (!cutOff.contains(node)) {
                new DatabaseConnection(this, lastConnection.incrementAndGet()).serve(socket);
            }
        } catch (IOException e) {
            return; // the socket had been closed
        } finally {
            nodes.remove(socket);
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket server : servers) {
            server.close();
        }
        cutOff(PromotionRun.NODES);
    }
}
