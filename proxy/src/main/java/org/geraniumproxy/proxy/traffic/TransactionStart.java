package org.geraniumproxy.proxy.traffic;

import org.geraniumproxy.core.routing.GroupResult;

/** Answer to the beginning of a transaction. */
public sealed interface TransactionStart {
    /**
     * The transaction is open.
     *
     * @param transaction the transaction
     * @param result result of the beginning
     */
    record Begun(GroupTransaction transaction, GroupResult result) implements TransactionStart {}

    /**
     * No transaction was begun.
     *
     * @param result why
     */
    record Refused(GroupResult result) implements TransactionStart {}
}
