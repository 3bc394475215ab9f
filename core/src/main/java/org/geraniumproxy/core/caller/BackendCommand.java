package org.geraniumproxy.core.caller;

import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.statement.StatementTemplate;

/** A command to a database. Each is answered with one {@link BackendReply}. */
public sealed interface BackendCommand {
    /** Forgets all values and prepared statements of the connection. */
    record Discard() implements BackendCommand {}

    /**
     * Sets a value of the connection.
     *
     * @param name name of the value
     * @param value the value
     */
    record SetVariable(String name, String value) implements BackendCommand {}

    /**
     * Prepares a statement.
     *
     * @param name name on the connection
     * @param template what is prepared
     */
    record Prepare(String name, StatementTemplate template) implements BackendCommand {}

    /**
     * Begins a transaction.
     *
     * @param readOnly whether a replica may run it
     * @param minimumPosition position that the log must have reached
     */
    record Begin(boolean readOnly, Optional<LogPosition> minimumPosition) implements BackendCommand {}

    /**
     * Runs a statement of a caller with its text unchanged.
     *
     * @param requestId the caller's identifier of the request
     * @param text the text
     * @param minimumPosition position that the log must have reached
     */
    record ExecuteText(String requestId, String text, Optional<LogPosition> minimumPosition)
            implements BackendCommand {}

    /**
     * Runs a prepared statement.
     *
     * @param requestId the caller's identifier of the request
     * @param name name on the connection
     * @param arguments the caller's arguments
     * @param minimumPosition position that the log must have reached
     */
    record ExecutePrepared(String requestId, String name, String arguments, Optional<LogPosition> minimumPosition)
            implements BackendCommand {}

    /**
     * Commits a transaction for a caller.
     *
     * @param requestId the caller's identifier of the request
     */
    record Commit(String requestId) implements BackendCommand {}

    /** Rolls the transaction back. */
    record Rollback() implements BackendCommand {}

    /** Asks for role, term and positions. */
    record ReadStatus() implements BackendCommand {}

    /**
     * Stops a replica from receiving.
     *
     * @param term a term above the newest one
     */
    record StopReceiving(long term) implements BackendCommand {}

    /** Lets a stopped replica receive again. */
    record ResumeReceiving() implements BackendCommand {}

    /**
     * Makes a primary of a lower term a replica.
     *
     * @param term a term above that of the primary
     */
    record StepDown(long term) implements BackendCommand {}
}
