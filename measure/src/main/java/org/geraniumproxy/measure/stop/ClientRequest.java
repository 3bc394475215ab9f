package org.geraniumproxy.measure.stop;

import java.time.Duration;
import java.time.Instant;

/**
 * Request of a client and its outcome.
 *
 * @param id identifier sent with the request
 * @param attempt identifier of the attempt at an operation; the requests of a transaction share it
 * @param node node that the client was connected to
 * @param part part of its operation
 * @param timeout time limit of the route for one statement
 * @param sent time at which the last byte had been written
 * @param ended time of the outcome
 * @param outcome what the client saw
 */
record ClientRequest(
        String id,
        String attempt,
        String node,
        Part part,
        Duration timeout,
        Instant sent,
        Instant ended,
        Outcome outcome) {

    /** Part of an operation. An open transaction has only the first half of the grace period to end. */
    enum Part {
        SINGLE,
        FIRST_OF_TRANSACTION,
        INSIDE_TRANSACTION
    }
}
