package org.geraniumproxy.core.fleet;

import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.promotion.PromotionIntent;

/**
 * Promotion intent of a group as a VM passes it on to the others, which may be cut off from the store.
 *
 * @param intent newest intent that the sender knows; its recipient learns it when the message arrives
 * @param revision revision of the store at which it was recorded
 * @param enforced whether the sender tells callers of no commit that the intent does not cover
 */
public record PromotionNotice(PromotionIntent intent, StoreRevision revision, boolean enforced) {}
