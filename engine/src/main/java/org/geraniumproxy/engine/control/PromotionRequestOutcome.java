package org.geraniumproxy.engine.control;

/** How an order to promote was answered. */
public enum PromotionRequestOutcome {
    /** The order was carried out. */
    DONE,
    /** The database does not run, or another holder gave a newer order. */
    REFUSED,
    /** No answer, or not taken for now; the order may still be carried out. */
    UNANSWERED
}
