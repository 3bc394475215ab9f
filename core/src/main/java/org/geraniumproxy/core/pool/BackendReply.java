package org.geraniumproxy.core.pool;

import java.util.List;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;

/** How a command on a connection to a backend server ended. */
public sealed interface BackendReply {
    /**
     * The command ran; every row and the end mark arrived and the row count matched.
     *
     * @param rows the rows
     * @param position term and position of the database's log after the command
     * @param transactionOpen whether a transaction is open on the connection
     */
    record Completed(List<String> rows, LogPosition position, boolean transactionOpen) implements BackendReply {
        /** Copies the rows. */
        public Completed {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The backend server refused the command before any effect.
     *
     * @param reason the backend server's reason
     * @param fencedTerm highest term that the database has been fenced at
     * @param transactionOpen whether a transaction is still open on the connection
     */
    record Refused(String reason, Term fencedTerm, boolean transactionOpen) implements BackendReply {}

    /**
     * The command was never handed to the connection.
     *
     * @param detail why
     */
    record NotSent(String detail) implements BackendReply {}

    /**
     * The command was sent and its complete answer did not arrive. The connection must be closed.
     *
     * @param detail what went wrong
     */
    record Broken(String detail) implements BackendReply {}
}
