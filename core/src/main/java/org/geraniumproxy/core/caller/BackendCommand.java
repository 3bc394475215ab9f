package org.geraniumproxy.core.caller;

import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.statement.StatementTemplate;

/** A command to a database. The database answers each command with one {@link BackendReply}. */
public sealed interface BackendCommand {
    /** Resets all variables of the connection and deallocates its prepared statements. */
    record Discard() implements BackendCommand {}

    /**
     * Sets a session variable on the connection.
     *
     * @param name name of the variable
     * @param value the new value
     */
    record SetVariable(String name, String value) implements BackendCommand {}

    /**
     * Prepares a statement on the connection.
     *
     * @param name name of the prepared statement, unique on the connection
     * @param template the statement to prepare
     */
    record Prepare(String name, StatementTemplate template) implements BackendCommand {}

    /**
     * Begins a transaction.
     *
     * @param readOnly whether a replica may run the transaction
     * @param minimumPosition log position that the database must have reached, or empty for none
     */
    record Begin(boolean readOnly, Optional<LogPosition> minimumPosition) implements BackendCommand {}

    /**
     * Runs a caller's statement with its text unchanged.
     *
     * @param requestId identifier that the caller gave the request
     * @param text the statement text
     * @param minimumPosition log position that the database must have reached, or empty for none
     */
    record ExecuteText(String requestId, String text, Optional<LogPosition> minimumPosition)
            implements BackendCommand {}

    /**
     * Runs a prepared statement.
     *
     * @param requestId identifier that the caller gave the request
     * @param name name of the prepared statement on the connection
     * @param arguments the arguments as the caller sent them
     * @param minimumPosition log position that the database must have reached, or empty for none
     */
    record ExecutePrepared(String requestId, String name, String arguments, Optional<LogPosition> minimumPosition)
            implements BackendCommand {}

    /**
     * Commits a caller's transaction.
     *
     * @param requestId identifier that the caller gave the request
     */
    record Commit(String requestId) implements BackendCommand {}

    /** Rolls back the open transaction. */
    record Rollback() implements BackendCommand {}

    /** Reads the role, term and log positions of the database. */
    record ReadStatus() implements BackendCommand {}

    /**
     * Stops a replica from receiving log records.
     *
     * @param term a term greater than any term in use
     */
    record StopReceiving(long term) implements BackendCommand {}

    /** Resumes log replication on a replica that was stopped by {@link StopReceiving}. */
    record ResumeReceiving() implements BackendCommand {}

    /**
     * Demotes a primary of a lower term to a replica.
     *
     * @param term a term greater than that of the primary
     */
    record StepDown(long term) implements BackendCommand {}
}
