package org.geraniumproxy.measure.reads;

/** How reads are placed. */
sealed interface ReadPolicy {
    /** The placement of the proxy. */
    record ProxyPlacement() implements ReadPolicy {}

    /** Every read at the primary; a baseline. */
    record AllAtPrimary() implements ReadPolicy {}

    /** A random replica, checked after its reply; the read is repeated at the primary if the check fails. */
    record RandomReplica() implements ReadPolicy {}
}
