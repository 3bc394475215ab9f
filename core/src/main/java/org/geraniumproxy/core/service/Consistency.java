package org.geraniumproxy.core.service;

/** What a route promises to the reads of its callers. */
public enum Consistency {
    /** A read sees every commit that was acknowledged before it began. */
    PRIMARY,
    /** A read may miss commits that are younger than the route's accepted age. */
    BOUNDED_STALENESS,
    /** As {@link #BOUNDED_STALENESS}, and a read sees every commit of its own session. */
    READ_YOUR_WRITES
}
