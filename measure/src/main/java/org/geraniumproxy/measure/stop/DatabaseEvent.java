package org.geraniumproxy.measure.stop;

import java.time.Instant;

/**
 * Step of a statement at a database.
 *
 * @param id identifier of the statement
 * @param database identifier of the database
 * @param connection number of the connection
 * @param step what happened
 * @param at time of the step
 */
record DatabaseEvent(String id, String database, long connection, Step step, Instant at) {
    /** Steps in their usual order. */
    enum Step {
        RECEIVED,
        BEGUN,
        ENDED,
        COMMITTED
    }
}
