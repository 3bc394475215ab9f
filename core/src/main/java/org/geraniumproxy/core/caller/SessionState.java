package org.geraniumproxy.core.caller;

import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.statement.StatementTemplate;

/**
 * What a caller's session has set and prepared. It belongs to the session and not to a connection to a database.
 *
 * @param variables values by name
 * @param preparedStatements prepared statements by the caller's names
 */
public record SessionState(Map<String, String> variables, Map<String, StatementTemplate> preparedStatements) {
    /** A session that has set nothing. */
    public static final SessionState EMPTY = new SessionState(Map.of(), Map.of());

    /** Copies the maps. */
    public SessionState {
        variables = Map.copyOf(variables);
        preparedStatements = Map.copyOf(preparedStatements);
    }

    SessionState withVariable(String name, String value) {
        Map<String, String> extended = new HashMap<>(variables);
        extended.put(name, value);
        return new SessionState(extended, preparedStatements);
    }

    SessionState withPreparedStatement(String name, StatementTemplate template) {
        Map<String, StatementTemplate> extended = new HashMap<>(preparedStatements);
        extended.put(name, template);
        return new SessionState(variables, extended);
    }

    SessionState withoutPreparedStatement(String name) {
        Map<String, StatementTemplate> remaining = new HashMap<>(preparedStatements);
        remaining.remove(name);
        return new SessionState(variables, remaining);
    }
}
