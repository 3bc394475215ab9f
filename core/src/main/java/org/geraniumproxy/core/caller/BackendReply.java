package org.geraniumproxy.core.caller;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * A complete reply of a database.
 *
 * @param rows the rows in order
 * @param result how the statement ended
 * @param transactionState state of the connection afterwards
 * @param position position of the database's log, if it named one
 */
public record BackendReply(
        List<String> rows, StatementResult result, TransactionState transactionState, Optional<LogPosition> position) {
    /** Copies the rows. */
    public BackendReply {
        rows = List.copyOf(rows);
    }

    /**
     * Tells whether the statement succeeded.
     *
     * @return true unless the database named an error
     */
    public boolean isCompleted() {
        return result instanceof StatementResult.Completed;
    }
}
