package org.geraniumproxy.core.caller;

/** Why a statement failed, from a database or from this VM. */
public enum ErrorCode {
    /** No route has the database name. */
    UNKNOWN_DATABASE(true),
    /** No customer holds the key. */
    UNKNOWN_KEY(true),
    /** The message or statement is not valid in the state of the session. */
    MALFORMED(true),
    /** No capacity, or over the customer's rate; nothing was run. */
    BUSY(true),
    /** The transaction was rolled back. */
    ROLLED_BACK(true),
    /** The log of the database lacks a required position. */
    LAGGING(true),
    /** The database does not lead its group. */
    READ_ONLY(true),
    /** Another database answers at the address. */
    WRONG_DATABASE(true),
    /** The database has its most connections. */
    CONNECTION_LIMIT(true),
    /** The prepared name is unknown. */
    UNKNOWN_STATEMENT(true),
    /** The statement ran and failed. */
    FAILED(false),
    /** No answer in time; the statement may have run. */
    TIMEOUT(false),
    /** The connection was lost; the statement may have run. */
    IN_DOUBT(false),
    /** A code of the database that this VM does not know; nothing is promised. */
    UNKNOWN(false);

    private final boolean notRun;

    ErrorCode(boolean notRun) {
        this.notRun = notRun;
    }

    /**
     * Tells whether the statement certainly had no effect.
     *
     * @return true if nothing of it was run or kept
     */
    public boolean isNotRun() {
        return notRun;
    }
}
