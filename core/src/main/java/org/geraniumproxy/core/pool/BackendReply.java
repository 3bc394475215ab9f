package org.geraniumproxy.core.pool;

import java.util.List;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;

/** Result of a command on a connection to a backend server. */
public sealed interface BackendReply {
    /**
     * The command succeeded and its answer arrived completely: all rows, the end marker and a matching row count.
     *
     * @param rows the result rows in order
     * @param position log position of the database after the command
     * @param transactionOpen whether a transaction is open on the connection after the command
     */
    record Completed(List<String> rows, LogPosition position, boolean transactionOpen) implements BackendReply {
        /** Makes an unmodifiable copy of the rows. */
        public Completed {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The backend server refused the command, which had no effect.
     *
     * @param reason reason given by the backend server
     * @param fencedTerm highest term at which the database was fenced
     * @param transactionOpen whether a transaction is still open on the connection
     */
    record Refused(String reason, Term fencedTerm, boolean transactionOpen) implements BackendReply {}

    /**
     * The command was not sent.
     *
     * @param detail reason why it was not sent
     */
    record NotSent(String detail) implements BackendReply {}

    /**
     * The command was sent but no complete answer arrived, so its effect is unknown. The connection must be closed.
     *
     * @param detail cause of the failure
     */
    record Broken(String detail) implements BackendReply {}
}
