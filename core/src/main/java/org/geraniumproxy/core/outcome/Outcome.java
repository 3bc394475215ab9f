package org.geraniumproxy.core.outcome;

import java.time.Duration;
import java.util.List;

/** Result of a request. An unknown outcome is never reported as not run. */
public sealed interface Outcome {
    /**
     * The request ran to completion.
     *
     * @param rows the complete result rows, empty if there are none
     */
    record Answered(List<String> rows) implements Outcome {
        /** Copies the rows. */
        public Answered {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The request had no effect: it was never sent, or the backend server rejected it.
     *
     * @param reason why the request was not run
     * @param detail explanation for the caller, without keys, tokens or statement text
     * @param retryAfter time after which a retry may succeed, zero if unknown
     */
    record NotRun(NotRunReason reason, String detail, Duration retryAfter) implements Outcome {}

    /**
     * The request may or may not have run.
     *
     * @param detail explanation for the caller, without keys, tokens or statement text
     */
    record Unknown(String detail) implements Outcome {}

    /**
     * Creates the outcome of a completed request.
     *
     * @param rows the complete result rows
     * @return the outcome
     */
    static Outcome answered(List<String> rows) {
        return new Answered(rows);
    }

    /**
     * Creates a rejection without a time to retry.
     *
     * @param reason why the request was not run
     * @param detail explanation for the caller
     * @return the outcome
     */
    static Outcome notRun(NotRunReason reason, String detail) {
        return new NotRun(reason, detail, Duration.ZERO);
    }

    /**
     * Creates a rejection with a time to retry.
     *
     * @param reason why the request was not run
     * @param detail explanation for the caller
     * @param retryAfter time after which a retry may succeed, zero if unknown
     * @return the outcome
     */
    static Outcome notRun(NotRunReason reason, String detail, Duration retryAfter) {
        return new NotRun(reason, detail, retryAfter);
    }

    /**
     * Creates an unknown outcome.
     *
     * @param detail explanation for the caller
     * @return the outcome
     */
    static Outcome unknown(String detail) {
        return new Unknown(detail);
    }
}
