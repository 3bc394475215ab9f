package org.geraniumproxy.core.caller;

/** Transaction state of a session or connection after a reply. */
public enum TransactionState {
    /** No transaction is open. */
    IDLE,
    /** A transaction is open. */
    OPEN,
    /** The transaction has failed and must be ended by the caller. */
    FAILED
}
