package org.geraniumproxy.core.service;

/** Consistency guarantee of a route for reads. */
public enum Consistency {
    /** A read sees every commit that was acknowledged before it began. */
    PRIMARY,
    /** A read may miss commits that are more recent than the route's maximum staleness. */
    BOUNDED_STALENESS,
    /** Like {@link #BOUNDED_STALENESS}, but a read also sees every commit of its own session. */
    READ_YOUR_WRITES
}
