package org.geraniumproxy.core.limit;

/** Where an operation's token comes from. */
public enum TokenSource {
    /** The owner of the customer's rate lends it. */
    OWNER,

    /** The owner doesn't answer or doesn't lend; the token comes from this VM's equal part of the rate. */
    EQUAL_PART
}
