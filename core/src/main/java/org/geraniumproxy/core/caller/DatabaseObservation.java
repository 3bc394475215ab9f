package org.geraniumproxy.core.caller;

import java.time.Duration;
import org.geraniumproxy.core.identity.BackendServerName;

/** Outcome of a statement as evidence about the health and role of a database. */
public sealed interface DatabaseObservation {
    /**
     * Returns the observed database.
     *
     * @return name of the observed database
     */
    BackendServerName database();

    /**
     * The database answered.
     *
     * @param database name of the database
     * @param latency time from sending the statement to its answer
     * @param acknowledgedCommit whether the answer acknowledged a commit
     */
    record Answered(BackendServerName database, Duration latency, boolean acknowledgedCommit)
            implements DatabaseObservation {}

    /**
     * The database did not answer before the deadline, or the connection was lost.
     *
     * @param database name of the database
     * @param commitUnacknowledged whether the missing answer would have acknowledged a commit
     */
    record Unresponsive(BackendServerName database, boolean commitUnacknowledged) implements DatabaseObservation {}

    /**
     * The database refused the statement as busy, or failed to run it.
     *
     * @param database name of the database
     */
    record Refused(BackendServerName database) implements DatabaseObservation {}

    /**
     * The database was addressed as the primary and refused the statement as a replica.
     *
     * @param database name of the database
     */
    record NotPrimary(BackendServerName database) implements DatabaseObservation {}

    /**
     * The log of the database had not reached a required position of the primary.
     *
     * @param database name of the database
     */
    record Lagging(BackendServerName database) implements DatabaseObservation {}
}
