package org.geraniumproxy.proxy.traffic;

/** Answer to a caller that begins a transaction. */
public sealed interface EntryTransactionStart {
    /**
     * Returns the reply to the caller.
     *
     * @return the reply
     */
    EntryReply reply();

    /**
     * The transaction is open.
     *
     * @param transaction the transaction
     * @param reply the reply to the caller
     */
    record Begun(EntryTransaction transaction, EntryReply reply) implements EntryTransactionStart {}

    /**
     * No transaction was begun.
     *
     * @param reply the reply to the caller
     */
    record Refused(EntryReply reply) implements EntryTransactionStart {}
}
