package org.geraniumproxy.core.outcome;

/** Reason why a request was not run. The names are part of the interface to callers. */
public enum NotRunReason {
    /** No route of that name is configured. */
    UNKNOWN_ROUTE,
    /** The API key is missing or belongs to no customer. */
    UNKNOWN_KEY,
    /** The customer is not configured. */
    UNKNOWN_CUSTOMER,
    /** The customer may not use the route, or the route does not allow the requested access. */
    ROUTE_NOT_ALLOWED,
    /** A field of the request is missing or invalid. */
    MALFORMED_REQUEST,
    /** The session token can't be decoded. */
    MALFORMED_TOKEN,
    /** The session token belongs to another customer. */
    FOREIGN_TOKEN,
    /** The session token is ahead of the log of the group. */
    IMPOSSIBLE_TOKEN,
    /** A write that the session token refers to was lost in a failover. */
    WRITE_LOST,
    /** The statement exceeds the size limit. */
    STATEMENT_TOO_LARGE,
    /** The deadline had passed when the request arrived. */
    DEADLINE_IN_PAST,
    /** The request can't be served before its deadline. */
    DEADLINE_UNREACHABLE,
    /** The customer exceeds its rate and burst. */
    RATE_EXCEEDED,
    /** The customer's queue for the slots of the group is full. */
    QUEUE_FULL,
    /** The proxy's view is too old to prove that its configuration is current. */
    VIEW_TOO_OLD,
    /** The key was withdrawn while the caller was connected. */
    KEY_WITHDRAWN,
    /** The proxy or the backend server is being stopped. */
    DRAINING,
    /** The group currently has no primary. */
    NO_PRIMARY,
    /** No database of the group is known to be within the maximum staleness of the request. */
    NO_REPLICA_WITHIN_AGE,
    /** The VM is not the coordinator of the group. */
    NOT_COORDINATOR,
    /** The backend server rejected the request before it had any effect. */
    BACKEND_REFUSED,
    /** The request could not be sent. */
    UNREACHABLE
}
