package org.geraniumproxy.core.caller;

/** State of a session or connection after a reply. */
public enum TransactionState {
    /** No transaction is open. */
    IDLE,
    /** A transaction is open. */
    OPEN,
    /** The transaction has failed and only waits to be ended. */
    FAILED
}
