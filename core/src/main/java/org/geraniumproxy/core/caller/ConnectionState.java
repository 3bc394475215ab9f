package org.geraniumproxy.core.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.statement.StatementTemplate;

/**
 * Variables and prepared statements of a database connection. All sessions that use the connection share its prepared
 * statements; each statement template has one generated name, so names chosen by different callers cannot collide.
 *
 * @param variables values of the session variables by name
 * @param preparedStatements names of the prepared statements on the connection by template
 * @param nextStatementNumber number in the name of the next prepared statement
 */
public record ConnectionState(
        Map<String, String> variables, Map<StatementTemplate, String> preparedStatements, int nextStatementNumber) {
    /** State of a new connection. */
    public static final ConnectionState EMPTY = new ConnectionState(Map.of(), Map.of(), 1);

    /** Maximum number of prepared statements on one connection; the connection is reset when it is reached. */
    static final int MAXIMUM_PREPARED_STATEMENTS = 64;

    /** Characters of all texts of an idle connection; hundreds of ordinary statements. */
    static final int MAXIMUM_IDLE_TEXT_LENGTH = 64 * 1024;

    /** Commands that apply a session to a connection, and the state of the connection after them. */
    record Synchronization(List<BackendCommand> commands, ConnectionState connectionState) {}

    /** Makes unmodifiable copies of the maps. */
    public ConnectionState {
        variables = Map.copyOf(variables);
        preparedStatements = Map.copyOf(preparedStatements);
    }

    /**
     * Returns the commands that a connection needs before it can run a statement of a session.
     *
     * @param session state of the session
     * @param template template of the prepared statement to run, or empty for other statements
     * @return the commands, none if the connection already has the state of the session
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

    /**
     * Returns whether the texts are short enough for the connection to be kept while no session uses it. Each VM keeps
     * tens of idle connections, which no limit of a session counts.
     *
     * @return false if the connection should be closed after its use
     */
    public boolean isWorthKeeping() {
        long length = 0;
        for (Map.Entry<String, String> variable : variables.entrySet()) {
            length += variable.getKey().length() + variable.getValue().length();
        }
        for (StatementTemplate template : preparedStatements.keySet()) {
            length += template.text().length();
        }
        return length <= MAXIMUM_IDLE_TEXT_LENGTH;
    }

    private ConnectionState withPreparedStatement(StatementTemplate template, String name) {
        Map<StatementTemplate, String> extended = new HashMap<>(preparedStatements);
        extended.put(template, name);
        return new ConnectionState(variables, extended, nextStatementNumber + 1);
    }
}
