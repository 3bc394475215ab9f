package org.geraniumproxy.core.caller;

import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.statement.StatementTemplate;

/**
 * Variables and prepared statements of a caller's session. They belong to the session and are applied to each database
 * connection that the session uses.
 *
 * @param variables values of the session variables by name
 * @param preparedStatements templates of the prepared statements by the name that the caller chose
 */
public record SessionState(Map<String, String> variables, Map<String, StatementTemplate> preparedStatements) {
    /** State of a new session. */
    public static final SessionState EMPTY = new SessionState(Map.of(), Map.of());

    /** Makes unmodifiable copies of the maps. */
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

    /**
     * Returns the length of all names, values and texts.
     *
     * @return number of characters
     */
    public long textLength() {
        long length = 0;
        for (Map.Entry<String, String> variable : variables.entrySet()) {
            length += variable.getKey().length() + variable.getValue().length();
        }
        for (Map.Entry<String, StatementTemplate> prepared : preparedStatements.entrySet()) {
            length += prepared.getKey().length() + prepared.getValue().text().length();
        }
        return length;
    }
}
