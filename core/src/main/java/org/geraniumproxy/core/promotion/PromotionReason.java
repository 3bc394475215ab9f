package org.geraniumproxy.core.promotion;

/** Why a primary is replaced. */
public enum PromotionReason {
    /** The primary is about to leave. */
    LEAVING,
    /** Several VMs get no answer or no acknowledged commit from the primary. */
    FAILING,
    /** The entry of the primary is missing in the store. */
    MISSING,
    /** No database of the group leads. */
    NONE_LEADS
}
