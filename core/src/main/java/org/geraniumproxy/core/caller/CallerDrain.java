package org.geraniumproxy.core.caller;

import java.time.Instant;

/**
 * Times by which the sessions of a VM that stops must have ended.
 *
 * @param transactionsEndAt time from which open transactions are rolled back
 * @param answersDueAt time at which statements in progress are answered without a result, and all sessions are closed
 */
public record CallerDrain(Instant transactionsEndAt, Instant answersDueAt) {
    /**
     * Checks the order of the times.
     *
     * @throws IllegalArgumentException if transactions would end after the answers are due
     */
    public CallerDrain {
        if (transactionsEndAt.isAfter(answersDueAt)) {
            throw new IllegalArgumentException(
                    "transactions end at " + transactionsEndAt + ", after the answers are due at " + answersDueAt);
        }
    }

    /** Returns whether open transactions must end. */
    boolean mustTransactionsEnd(Instant now) {
        return !now.isBefore(transactionsEndAt);
    }

    /** Returns whether every statement must be answered at once. */
    boolean areAnswersDue(Instant now) {
        return !now.isBefore(answersDueAt);
    }
}
