package org.geraniumproxy.core.statement;

/** A caller's statement. The text of a read or write is passed to the database unchanged. */
public sealed interface Statement {
    /**
     * Begins a transaction.
     *
     * @param readOnly whether the transaction is read-only
     */
    record Begin(boolean readOnly) implements Statement {}

    /** Commits the open transaction. */
    record Commit() implements Statement {}

    /** Rolls back the open or failed transaction. */
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
     * Sets a session variable.
     *
     * @param name name of the variable
     * @param value the new value
     */
    record SetVariable(String name, String value) implements Statement {}

    /**
     * Prepares a statement for the session.
     *
     * @param name name that the caller chose, unique in the session
     * @param template the statement to prepare
     */
    record Prepare(String name, StatementTemplate template) implements Statement {}

    /**
     * Runs a prepared statement.
     *
     * @param name name of the prepared statement
     * @param arguments the item and, for a write, its data
     */
    record Execute(String name, String arguments) implements Statement {}

    /**
     * Deallocates a prepared statement.
     *
     * @param name name of the prepared statement
     */
    record Deallocate(String name) implements Statement {}

    /**
     * A text that is not a valid statement.
     *
     * @param reason why the text is invalid; sent to the caller
     */
    record Malformed(String reason) implements Statement {}

    /**
     * Returns the length of the names and texts of the statement.
     *
     * @return number of characters
     */
    default int textLength() {
        return switch (this) {
            case Begin _, Commit _, Rollback _ -> 0;
            case Read read -> read.text().length();
            case Write write -> write.text().length();
            case SetVariable variable ->
                variable.name().length() + variable.value().length();
            case Prepare prepare ->
                prepare.name().length() + prepare.template().text().length();
            case Execute execute ->
                execute.name().length() + execute.arguments().length();
            case Deallocate deallocate -> deallocate.name().length();
            case Malformed malformed -> malformed.reason().length();
        };
    }
}
