package org.geraniumproxy.measure.reads;

/** Policy that chooses the database for a read. */
sealed interface ReadPolicy {
    /** Read placement of the proxy. */
    record ProxyPlacement() implements ReadPolicy {}

    /** Baseline that sends every read to the primary. */
    record AllAtPrimary() implements ReadPolicy {}

    /** Baseline that reads from a random replica and repeats the read at the primary if the reply is too old. */
    record RandomReplica() implements ReadPolicy {}
}
