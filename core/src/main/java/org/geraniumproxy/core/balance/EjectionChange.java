package org.geraniumproxy.core.balance;

import org.geraniumproxy.core.identity.BackendServerName;

/**
 * Change of the standing of a database.
 *
 * @param kind what changed
 * @param database name of the database
 * @param detail inputs of the decision, for the log
 */
public record EjectionChange(Kind kind, BackendServerName database, String detail) {
    /** Kind of a change. */
    public enum Kind {
        /** The database is given no more reads. */
        EJECTED,
        /** The database is tried again with few reads. */
        READMITTED,
        /** The database is given its full share again. */
        RESTORED
    }
}
