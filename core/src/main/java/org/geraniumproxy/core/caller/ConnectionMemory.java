package org.geraniumproxy.core.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.statement.PreparedShape;

/**
 * What a connection to a database has been told. Prepared statements are shared by all sessions that use the
 * connection, under names that depend on the shape only, so that names of different callers never collide.
 *
 * @param values values by name
 * @param prepared names on the connection by shape
 * @param nextName number of the next prepared name
 */
public record ConnectionMemory(Map<String, String> values, Map<PreparedShape, String> prepared, int nextName) {
    /** A new connection. */
    public static final ConnectionMemory EMPTY = new ConnectionMemory(Map.of(), Map.of(), 1);

    /** Most prepared statements of one connection; beyond it the connection starts anew. */
    static final int MOST_PREPARED = 64;

    /** Commands that bring a connection up to date, and what it knows after them. */
    record Update(List<BackendCommand> commands, ConnectionMemory memory) {}

    /** Copies the maps. */
    public ConnectionMemory {
        values = Map.copyOf(values);
        prepared = Map.copyOf(prepared);
    }

    /**
     * Returns what must be sent before a statement of a session may run.
     *
     * @param session what the session has set
     * @param shape shape of the prepared statement that is about to run, if any
     * @return the commands, none if the connection is up to date
     */
    Update updateFor(SessionMemory session, Optional<PreparedShape> shape) {
        List<BackendCommand> commands = new ArrayList<>();
        ConnectionMemory memory = this;
        boolean leftOver = !session.values().keySet().containsAll(values.keySet());
        if (leftOver || prepared.size() >= MOST_PREPARED) {
            commands.add(new BackendCommand.Discard());
            memory = new ConnectionMemory(Map.of(), Map.of(), nextName);
        }
        for (Map.Entry<String, String> value : session.values().entrySet()) {
            if (!value.getValue().equals(memory.values.get(value.getKey()))) {
                commands.add(new BackendCommand.SetValue(value.getKey(), value.getValue()));
            }
        }
        memory = new ConnectionMemory(session.values(), memory.prepared, memory.nextName);
        if (shape.isPresent() && !memory.prepared.containsKey(shape.get())) {
            String name = "p" + memory.nextName;
            commands.add(new BackendCommand.Prepare(name, shape.get()));
            memory = memory.withPrepared(shape.get(), name);
        }
        return new Update(commands, memory);
    }

    private ConnectionMemory withPrepared(PreparedShape shape, String name) {
        Map<PreparedShape, String> extended = new HashMap<>(prepared);
        extended.put(shape, name);
        return new ConnectionMemory(values, extended, nextName + 1);
    }
}
