package org.geraniumproxy.core.pool;

/** What is sent on a connection to a backend server. */
public sealed interface BackendCommand {
    /**
     * Runs a statement, in the open transaction if there is one.
     *
     * @param statement the statement text
     * @param write whether it may write
     */
    record Execute(String statement, boolean write) implements BackendCommand {}

    /** Begins a transaction. */
    record Begin() implements BackendCommand {}

    /** Commits the open transaction. */
    record Commit() implements BackendCommand {}

    /** Rolls the open transaction back. */
    record Rollback() implements BackendCommand {}
}
