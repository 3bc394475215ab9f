package org.geraniumproxy.core.caller;

import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.statement.PreparedShape;

/**
 * What a caller's session has set and prepared. It belongs to the session and not to a connection to a database.
 *
 * @param values values by name
 * @param prepared prepared statements by the caller's names
 */
public record SessionMemory(Map<String, String> values, Map<String, PreparedShape> prepared) {
    /** A session that has set nothing. */
    public static final SessionMemory EMPTY = new SessionMemory(Map.of(), Map.of());

    /** Copies the maps. */
    public SessionMemory {
        values = Map.copyOf(values);
        prepared = Map.copyOf(prepared);
    }

    SessionMemory withValue(String name, String value) {
        Map<String, String> extended = new HashMap<>(values);
        extended.put(name, value);
        return new SessionMemory(extended, prepared);
    }

    SessionMemory withPrepared(String name, PreparedShape shape) {
        Map<String, PreparedShape> extended = new HashMap<>(prepared);
        extended.put(name, shape);
        return new SessionMemory(values, extended);
    }

    SessionMemory withoutPrepared(String name) {
        Map<String, PreparedShape> remaining = new HashMap<>(prepared);
        remaining.remove(name);
        return new SessionMemory(values, remaining);
    }
}
