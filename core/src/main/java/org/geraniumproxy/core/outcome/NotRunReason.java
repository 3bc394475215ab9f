package org.geraniumproxy.core.outcome;

/** Why a request was not run. */
public enum NotRunReason {
    /** No route of that name is configured. */
    UNKNOWN_ROUTE,
    /** The key is missing or does not belong to any customer. */
    UNKNOWN_KEY,
    /** The customer is not configured. */
    UNKNOWN_CUSTOMER,
    /** The customer may not use the route, or the route does not allow the access. */
    ROUTE_NOT_ALLOWED,
    /** A field of the request is missing or has an impossible value. */
    MALFORMED_REQUEST,
    /** The session token can't be decoded. */
    MALFORMED_TOKEN,
    /** The session token belongs to another customer. */
    FOREIGN_TOKEN,
    /** The session token is ahead of everything that the group has ever written. */
    IMPOSSIBLE_TOKEN,
    /** A write that the session token names was lost. */
    WRITE_LOST,
    /** The statement is larger than the limit. */
    STATEMENT_TOO_LARGE,
    /** The deadline had passed on arrival. */
    DEADLINE_IN_PAST,
    /** The request can't be served before its deadline. */
    DEADLINE_UNREACHABLE,
    /** The customer is over its rate and burst. */
    RATE_EXCEEDED,
    /** The customer's queue for the slots of the group is full. */
    QUEUE_FULL,
    /** The proxy can't prove that its view of the configuration is current. */
    VIEW_TOO_OLD,
    /** The key was withdrawn while the caller was connected. */
    KEY_WITHDRAWN,
    /** The proxy or the backend server is being stopped. */
    DRAINING,
    /** The group has no primary at the moment. */
    NO_PRIMARY,
    /** No database of the group is proven to be as fresh as the request asks. */
    NO_REPLICA_WITHIN_AGE,
    /** The VM does not serve the group. */
    NOT_COORDINATOR,
    /** The backend server refused the request before any effect. */
    BACKEND_REFUSED,
    /** The request could not be sent. */
    UNREACHABLE
}
