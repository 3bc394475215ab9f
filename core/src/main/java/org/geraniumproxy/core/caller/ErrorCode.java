package org.geraniumproxy.core.caller;

/** Reason why a statement failed, reported by a database or by this VM. */
public enum ErrorCode {
    /** No route has the requested database name. */
    UNKNOWN_DATABASE(true),
    /** No customer holds the key. */
    UNKNOWN_KEY(true),
    /** The message or statement is not valid in the state of the session. */
    MALFORMED(true),
    /** No capacity was available, or the customer is over its rate; nothing was run. */
    BUSY(true),
    /** The transaction was rolled back. */
    ROLLED_BACK(true),
    /** The log of the database has not reached a required position. */
    LAGGING(true),
    /** The database is not the primary of its group. */
    READ_ONLY(true),
    /** The address belongs to another database. */
    WRONG_DATABASE(true),
    /** The database has reached its connection limit. */
    CONNECTION_LIMIT(true),
    /** No prepared statement has the given name. */
    UNKNOWN_STATEMENT(true),
    /** No database is in a region that both the route and the customer allow. */
    REGION_NOT_ALLOWED(true),
    /** Only a primary in an evacuated failure domain could run the statement. */
    EVACUATED(true),
    /** The statement was run and failed. */
    FAILED(false),
    /** No answer arrived before the deadline; the statement may have run. */
    TIMEOUT(false),
    /** The connection was lost; the statement may have run. */
    IN_DOUBT(false),
    /** The database sent an unrecognized code; the statement may have run. */
    UNKNOWN(false);

    private final boolean notRun;

    ErrorCode(boolean notRun) {
        this.notRun = notRun;
    }

    /**
     * Returns whether the statement is guaranteed to have had no effect.
     *
     * @return true if the statement was not run or was rolled back
     */
    public boolean isNotRun() {
        return notRun;
    }
}
