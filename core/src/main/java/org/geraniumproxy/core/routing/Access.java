package org.geraniumproxy.core.routing;

/** Whether a request reads or writes. */
public enum Access {
    /** The request only reads. */
    READ,
    /** The request may write. */
    WRITE
}
