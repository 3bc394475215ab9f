package org.geraniumproxy.core.caller;

/** Result of a statement. */
public sealed interface StatementResult {
    /** Signature of a statement that succeeded without a database. */
    String UNSIGNED = "-";

    /**
     * The statement succeeded.
     *
     * @param signature signature of the database, or {@link #UNSIGNED}
     */
    record Completed(String signature) implements StatementResult {}

    /**
     * The statement failed.
     *
     * @param code reason of the failure
     * @param text human-readable explanation
     */
    record Failed(ErrorCode code, String text) implements StatementResult {}
}
