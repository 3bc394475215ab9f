package org.geraniumproxy.core.caller;

/** What became of an operation whose key moved to another customer. */
public enum KeyMoveOutcome {
    /** No statement had run; the operation goes on for the customer that holds the key. */
    RESTARTED,
    /** Statements had run for the former customer; the transaction was rolled back. */
    ROLLED_BACK
}
