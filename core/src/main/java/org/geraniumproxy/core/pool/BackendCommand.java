package org.geraniumproxy.core.pool;

/** A command on a connection to a backend server. */
public sealed interface BackendCommand {
    /**
     * Runs a statement, within the open transaction if there is one.
     *
     * @param statement the statement text
     * @param write whether the statement may write
     */
    record Execute(String statement, boolean write) implements BackendCommand {}

    /** Begins a transaction. */
    record Begin() implements BackendCommand {}

    /** Commits the open transaction. */
    record Commit() implements BackendCommand {}

    /** Rolls the open transaction back. */
    record Rollback() implements BackendCommand {}
}
