package org.geraniumproxy.core.relay;

/** Reason why an owner grants no connection. Nothing was sent to the database. */
public enum RefusalReason {
    /** The VM doesn't own the connections of the database, by the registrations that it knows. */
    NOT_OWNER,
    /** The VM stops. */
    STOPPING,
    /** The database left, or no connection to it can be opened. */
    DATABASE_UNAVAILABLE,
    /** The queue can't serve the request in time. */
    QUEUE
}
