package org.geraniumproxy.engine.control;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.promotion.PromotionIntent;

/** What the supervision of groups needs from the platform; called on the control thread. */
public interface PromotionPlatform {
    /**
     * Returns the fencing token while this VM holds the duty.
     *
     * @return the token, or empty if another VM may hold the duty
     */
    OptionalLong fencingToken();

    /**
     * Returns the last announced order of a group.
     *
     * @param group the group
     * @return the order, or empty if none was announced
     */
    Optional<PromotionIntent> promotionIntent(GroupName group);

    /**
     * Writes an order to the store.
     *
     * @param group the group
     * @param intent the order
     * @return completes when it is written
     */
    CompletableFuture<Void> recordIntent(GroupName group, PromotionIntent intent);

    /**
     * Gets a greater fencing token for the holder that this VM is.
     *
     * @return completes when {@link #fencingToken} returns it; fails if it may not be greater
     */
    CompletableFuture<Void> renewFencingToken();

    /**
     * Orders a promotion.
     *
     * @param group the group
     * @param target the database
     * @param token the fencing token
     * @return how the order was answered
     */
    CompletableFuture<PromotionRequestOutcome> requestPromotion(GroupName group, BackendServerName target, long token);
}
