package org.geraniumproxy.core.caller;

import java.time.Duration;
import org.geraniumproxy.core.identity.BackendServerName;

/** How a database behaved towards a statement. */
public sealed interface DatabaseObservation {
    /**
     * Returns the database.
     *
     * @return its name
     */
    BackendServerName database();

    /**
     * It answered.
     *
     * @param database the database
     * @param latency time from sending to the answer
     * @param acknowledgedCommit whether the answer acknowledged a commit
     */
    record Answered(BackendServerName database, Duration latency, boolean acknowledgedCommit)
            implements DatabaseObservation {}

    /**
     * It did not answer in time or the connection was lost.
     *
     * @param database the database
     * @param commitUnacknowledged whether the acknowledgement of a commit is missing
     */
    record Unresponsive(BackendServerName database, boolean commitUnacknowledged) implements DatabaseObservation {}

    /**
     * It refused as a replica although it was chosen as the primary.
     *
     * @param database the database
     */
    record NotPrimary(BackendServerName database) implements DatabaseObservation {}

    /**
     * Its log lacks a position that the primary had proved.
     *
     * @param database the database
     */
    record Lagging(BackendServerName database) implements DatabaseObservation {}
}
