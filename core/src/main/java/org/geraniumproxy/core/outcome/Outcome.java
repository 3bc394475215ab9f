package org.geraniumproxy.core.outcome;

import java.time.Duration;
import java.util.List;

/** How a request ended. Nothing turns an unknown outcome into one that was not run. */
public sealed interface Outcome {
    /**
     * The request ran and this is its complete answer.
     *
     * @param rows the rows of the answer
     */
    record Answered(List<String> rows) implements Outcome {
        /** Copies the rows. */
        public Answered {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The request had no effect: it was never sent, or the backend server refused it before any effect.
     *
     * @param reason why it was not run
     * @param detail what would be right, without keys, tokens or statement text
     * @param retryAfter time after which a new try may succeed, zero if unknown
     */
    record NotRun(NotRunReason reason, String detail, Duration retryAfter) implements Outcome {}

    /**
     * The request may or may not have run.
     *
     * @param detail what is known, without keys, tokens or statement text
     */
    record Unknown(String detail) implements Outcome {}

    /**
     * Returns a complete answer.
     *
     * @param rows the rows of the answer
     * @return the outcome
     */
    static Outcome answered(List<String> rows) {
        return new Answered(rows);
    }

    /**
     * Returns a refusal before any effect.
     *
     * @param reason why the request was not run
     * @param detail what would be right
     * @return the outcome
     */
    static Outcome notRun(NotRunReason reason, String detail) {
        return new NotRun(reason, detail, Duration.ZERO);
    }

    /**
     * Returns a refusal before any effect that names the time of the next useful try.
     *
     * @param reason why the request was not run
     * @param detail what would be right
     * @param retryAfter time after which a new try may succeed
     * @return the outcome
     */
    static Outcome notRun(NotRunReason reason, String detail, Duration retryAfter) {
        return new NotRun(reason, detail, retryAfter);
    }

    /**
     * Returns an unknown outcome.
     *
     * @param detail what is known
     * @return the outcome
     */
    static Outcome unknown(String detail) {
        return new Unknown(detail);
    }
}
