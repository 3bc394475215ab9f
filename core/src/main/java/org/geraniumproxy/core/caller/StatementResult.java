package org.geraniumproxy.core.caller;

/** How a statement ended. */
public sealed interface StatementResult {
    /** Signature of a success that no database signs. */
    String UNSIGNED = "-";

    /**
     * The statement succeeded.
     *
     * @param signature the database's signature, or {@link #UNSIGNED}
     */
    record Completed(String signature) implements StatementResult {}

    /**
     * The statement failed.
     *
     * @param code why
     * @param text an explanation for people
     */
    record Failed(ErrorCode code, String text) implements StatementResult {}
}
