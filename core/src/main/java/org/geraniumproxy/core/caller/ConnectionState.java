package org.geraniumproxy.core.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.statement.StatementTemplate;

/**
 * What a connection to a database has been told. Prepared statements are shared by all sessions that use the
 * connection, under names that depend on the shape only, so that names of different callers never collide.
 *
 * @param variables values by name
 * @param preparedStatements names on the connection by shape
 * @param nextStatementNumber number of the next prepared name
 */
public record ConnectionState(
        Map<String, String> variables, Map<StatementTemplate, String> preparedStatements, int nextStatementNumber) {
    /** A new connection. */
    public static final ConnectionState EMPTY = new ConnectionState(Map.of(), Map.of(), 1);

    /** Most prepared statements of one connection; beyond it the connection starts anew. */
    static final int MAXIMUM_PREPARED_STATEMENTS = 64;

    /** Commands that bring a connection up to date, and what it knows after them. */
    record Synchronization(List<BackendCommand> commands, ConnectionState connectionState) {}

    /** Copies the maps. */
    public ConnectionState {
        variables = Map.copyOf(variables);
        preparedStatements = Map.copyOf(preparedStatements);
    }

    /**
     * Returns what must be sent before a statement of a session may run.
     *
     * @param session what the session has set
     * @param template shape of the prepared statement that is about to run, if any
     * @return the commands, none if the connection is up to date
     */
    Synchronization synchronizeWith(SessionState session, Optional<StatementTemplate> template) {
        List<BackendCommand> commands = new ArrayList<>();
        ConnectionState updated = this;
        boolean hasStaleVariables = !session.variables().keySet().containsAll(variables.keySet());
        if (hasStaleVariables || preparedStatements.size() >= MAXIMUM_PREPARED_STATEMENTS) {
            commands.add(new BackendCommand.Discard());
            updated = new ConnectionState(Map.of(), Map.of(), nextStatementNumber);
        }
        for (Map.Entry<String, String> variable : session.variables().entrySet()) {
            if (!variable.getValue().equals(updated.variables.get(variable.getKey()))) {
                commands.add(new BackendCommand.SetVariable(variable.getKey(), variable.getValue()));
            }
        }
        updated = new ConnectionState(session.variables(), updated.preparedStatements, updated.nextStatementNumber);
        if (template.isPresent() && !updated.preparedStatements.containsKey(template.get())) {
            String name = "p" + updated.nextStatementNumber;
            commands.add(new BackendCommand.Prepare(name, template.get()));
            updated = updated.withPreparedStatement(template.get(), name);
        }
        return new Synchronization(commands, updated);
    }

    private ConnectionState withPreparedStatement(StatementTemplate template, String name) {
        Map<StatementTemplate, String> extended = new HashMap<>(preparedStatements);
        extended.put(template, name);
        return new ConnectionState(variables, extended, nextStatementNumber + 1);
    }
}
