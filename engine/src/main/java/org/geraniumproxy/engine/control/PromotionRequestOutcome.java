package org.geraniumproxy.engine.control;

/** Outcome of a promotion request. */
public enum PromotionRequestOutcome {
    /** The platform has accepted the request. */
    DONE,
    /** The database is not running, or another lease holder has sent a newer request. */
    REFUSED,
    /** No response, or the platform cannot accept the request at present. The promotion may still take place. */
    UNANSWERED
}
