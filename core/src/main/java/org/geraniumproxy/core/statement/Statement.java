package org.geraniumproxy.core.statement;

/** A statement of a caller. The text of a read or write reaches the database as the caller sent it. */
public sealed interface Statement {
    /**
     * Begins a transaction.
     *
     * @param readOnly whether the transaction may only read
     */
    record Begin(boolean readOnly) implements Statement {}

    /** Commits the transaction. */
    record Commit() implements Statement {}

    /** Rolls the transaction back. */
    record Rollback() implements Statement {}

    /**
     * Reads an item.
     *
     * @param text the statement as the caller sent it
     */
    record Read(String text) implements Statement {}

    /**
     * Writes an item.
     *
     * @param text the statement as the caller sent it
     */
    record Write(String text) implements Statement {}

    /**
     * Sets a value of the session.
     *
     * @param name name of the value
     * @param value the value
     */
    record SetVariable(String name, String value) implements Statement {}

    /**
     * Prepares a statement under a name of the session.
     *
     * @param name the caller's name
     * @param template what is prepared
     */
    record Prepare(String name, StatementTemplate template) implements Statement {}

    /**
     * Runs a prepared statement.
     *
     * @param name the caller's name
     * @param arguments item and, for a write, data
     */
    record Execute(String name, String arguments) implements Statement {}

    /**
     * Forgets a prepared statement.
     *
     * @param name the caller's name
     */
    record Deallocate(String name) implements Statement {}

    /**
     * A text that is no statement.
     *
     * @param reason what is wrong with it
     */
    record Malformed(String reason) implements Statement {}
}
