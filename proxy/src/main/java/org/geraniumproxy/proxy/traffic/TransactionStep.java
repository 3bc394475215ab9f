package org.geraniumproxy.proxy.traffic;

/** A step of a transaction after its beginning. */
public sealed interface TransactionStep {
    /**
     * Returns the caller's number of the step.
     *
     * @return the number
     */
    long requestNumber();

    /**
     * Runs a statement.
     *
     * @param requestNumber the caller's number of the step
     * @param statement the statement text
     */
    record Statement(long requestNumber, String statement) implements TransactionStep {}

    /**
     * Commits the transaction.
     *
     * @param requestNumber the caller's number of the step
     */
    record Commit(long requestNumber) implements TransactionStep {}

    /**
     * Rolls the transaction back.
     *
     * @param requestNumber the caller's number of the step
     */
    record Rollback(long requestNumber) implements TransactionStep {}
}
