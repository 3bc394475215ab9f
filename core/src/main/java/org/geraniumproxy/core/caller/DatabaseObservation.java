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
     * @param took time from sending to the answer
     * @param acknowledgedCommit whether the answer acknowledged a commit
     */
    record Answered(BackendServerName database, Duration took, boolean acknowledgedCommit)
            implements DatabaseObservation {}

    /**
     * It did not answer in time or the connection was lost.
     *
     * @param database the database
     * @param commit whether the acknowledgement of a commit is missing
     */
    record Silent(BackendServerName database, boolean commit) implements DatabaseObservation {}

    /**
     * It refused as a replica although it was chosen as the primary.
     *
     * @param database the database
     */
    record NotLeading(BackendServerName database) implements DatabaseObservation {}

    /**
     * Its log lacks a position that the primary had proved.
     *
     * @param database the database
     */
    record Lagging(BackendServerName database) implements DatabaseObservation {}
}
