package org.geraniumproxy.core.promotion;

/** Reason to replace a primary. */
public enum PromotionReason {
    /** The primary is draining. */
    LEAVING,
    /** Several VMs get no answer or no acknowledged commit from the primary. */
    FAILING,
    /** The entry of the primary is missing in the store. */
    MISSING,
    /** The group has no primary. */
    NONE_LEADS
}
