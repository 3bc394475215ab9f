package org.geraniumproxy.core.caller;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * A complete reply of a database.
 *
 * @param rows the result rows in order
 * @param result result of the command
 * @param transactionState transaction state of the connection after the command
 * @param position log position of the database, or empty if the reply names none
 */
public record BackendReply(
        List<String> rows, StatementResult result, TransactionState transactionState, Optional<LogPosition> position) {
    /** Makes an unmodifiable copy of the rows. */
    public BackendReply {
        rows = List.copyOf(rows);
    }

    /**
     * Returns whether the command succeeded.
     *
     * @return false if the database reported an error
     */
    public boolean isCompleted() {
        return result instanceof StatementResult.Completed;
    }
}
