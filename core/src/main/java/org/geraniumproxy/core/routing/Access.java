package org.geraniumproxy.core.routing;

/** Kind of access that a request needs. */
public enum Access {
    /** The request only reads. */
    READ,
    /** The request may write. */
    WRITE
}
