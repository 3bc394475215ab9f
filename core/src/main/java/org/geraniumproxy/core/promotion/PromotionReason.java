package org.geraniumproxy.core.promotion;

/** Reason to replace a primary. */
public enum PromotionReason {
    /** The primary is draining. */
    LEAVING,
    /** The primary is draining, and its notice is over or it fails. */
    LEFT,
    /** The failure domain of the primary is evacuated; the primary serves until it is replaced. */
    EVACUATING,
    /** The failure domain of the primary is evacuated, and the primary gets no statements any more. */
    EVACUATED,
    /** Several VMs get no answer or no acknowledged commit from the primary. */
    FAILING,
    /** Other VMs get no answer or no acknowledged commit from the primary, while this VM does. */
    FAILING_FOR_OTHERS,
    /** The entry of the primary is missing in the store. */
    MISSING,
    /** The group has no primary. */
    NONE_LEADS,
    /** A promotion was requested whose outcome is unknown; callers get no acknowledgement until it is settled. */
    UNSETTLED
}
