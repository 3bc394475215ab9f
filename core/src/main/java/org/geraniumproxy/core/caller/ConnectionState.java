package org.geraniumproxy.core.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.statement.StatementTemplate;

/**
 * Variables and prepared statements of a database connection, as they follow from the commands that it has carried out
 * ({@link ConnectionStateTracker}). All sessions that use the connection share its prepared statements; each statement
 * template has one generated name, so names chosen by different callers cannot collide.
 *
 * @param variables values of the session variables by name
 * @param preparedStatements names of the prepared statements on the connection by template
 * @param nextStatementNumber number in the name of the next prepared statement
 */
public record ConnectionState(
        Map<String, String> variables, Map<StatementTemplate, String> preparedStatements, int nextStatementNumber) {
    /** State of a new connection. */
    public static final ConnectionState EMPTY = new ConnectionState(Map.of(), Map.of(), 1);

    private static final String STATEMENT_NAME_PREFIX = "p";

    /** Maximum number of prepared statements on one connection; the connection is reset when it is reached. */
    static final int MAXIMUM_PREPARED_STATEMENTS = 64;

    /** Characters of all texts of an idle connection; hundreds of ordinary statements. */
    static final int MAXIMUM_IDLE_TEXT_LENGTH = 64 * 1024;

    /**
     * Commands that apply a session to a connection.
     *
     * @param commands the commands in order
     * @param statementName name of the prepared statement to run, or empty for other statements
     */
    record Synchronization(List<BackendCommand> commands, Optional<String> statementName) {
        /** Makes an unmodifiable copy of the commands. */
        Synchronization {
            commands = List.copyOf(commands);
        }
    }

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
        boolean hasStaleVariables = !session.variables().keySet().containsAll(variables.keySet());
        if (hasStaleVariables || preparedStatements.size() >= MAXIMUM_PREPARED_STATEMENTS) {
            commands.add(new BackendCommand.Discard());
        }
        ConnectionState kept = after(commands);
        for (Map.Entry<String, String> variable : session.variables().entrySet()) {
            if (!variable.getValue().equals(kept.variables.get(variable.getKey()))) {
                commands.add(new BackendCommand.SetVariable(variable.getKey(), variable.getValue()));
            }
        }
        Optional<String> statementName = template.map(prepared ->
                kept.preparedStatements.getOrDefault(prepared, STATEMENT_NAME_PREFIX + nextStatementNumber));
        if (template.isPresent() && !kept.preparedStatements.containsKey(template.get())) {
            commands.add(new BackendCommand.Prepare(statementName.get(), template.get()));
        }
        return new Synchronization(commands, statementName);
    }

    private ConnectionState after(List<BackendCommand> commands) {
        ConnectionState next = this;
        for (BackendCommand command : commands) {
            next = next.after(command);
        }
        return next;
    }

    /** Returns the state after a command that the database has carried out. */
    ConnectionState after(BackendCommand command) {
        return switch (command) {
            case BackendCommand.Discard _ -> new ConnectionState(Map.of(), Map.of(), nextStatementNumber);
            case BackendCommand.SetVariable variable -> withVariable(variable.name(), variable.value());
            case BackendCommand.Prepare prepare -> withPreparedStatement(prepare.template(), prepare.name());
            case BackendCommand.Begin _,
                    BackendCommand.ExecuteText _,
                    BackendCommand.ExecutePrepared _,
                    BackendCommand.Commit _,
                    BackendCommand.Rollback _,
                    BackendCommand.ReadStatus _,
                    BackendCommand.StopReceiving _,
                    BackendCommand.ResumeReceiving _,
                    BackendCommand.StepDown _ -> this;
        };
    }

    private ConnectionState withVariable(String name, String value) {
        Map<String, String> extended = new HashMap<>(variables);
        extended.put(name, value);
        return new ConnectionState(extended, preparedStatements, nextStatementNumber);
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
