package org.geraniumproxy.core.caller;

import java.time.Instant;

/**
 * Times by which the sessions of a VM that stops must have ended. They are published with the stop signal, so that no
 * later message is needed for the sessions to end.
 *
 * @param startsAt time from which sessions are ended
 * @param transactionsEndAt time from which open transactions are rolled back
 * @param answersDueAt time at which statements in progress are answered without a result, and all sessions are closed
 */
public record CallerDrain(Instant startsAt, Instant transactionsEndAt, Instant answersDueAt) {
    /**
     * Checks the order of the times.
     *
     * @throws IllegalArgumentException if the times are not in order
     */
    public CallerDrain {
        if (startsAt.isAfter(transactionsEndAt)) {
            throw new IllegalArgumentException(
                    "the drain starts at " + startsAt + ", after transactions end at " + transactionsEndAt);
        }
        if (transactionsEndAt.isAfter(answersDueAt)) {
            throw new IllegalArgumentException(
                    "transactions end at " + transactionsEndAt + ", after the answers are due at " + answersDueAt);
        }
    }

    /**
     * Returns whether sessions are ended.
     *
     * @param now current time
     * @return true from the start on
     */
    public boolean hasStarted(Instant now) {
        return !now.isBefore(startsAt);
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
