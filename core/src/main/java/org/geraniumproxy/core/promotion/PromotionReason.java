package org.geraniumproxy.core.promotion;

/** Reason to replace a primary. */
public enum PromotionReason {
    /** The primary is draining. */
    LEAVING,
    /** The notice of the primary is over, and it gets no more statements. */
    LEFT,
    /** Several VMs get no answer or no acknowledged commit from the primary. */
    FAILING,
    /** The entry of the primary is missing in the store. */
    MISSING,
    /** The group has no primary. */
    NONE_LEADS
}
