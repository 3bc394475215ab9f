package org.geraniumproxy.engine.control;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.directory.GroupMembers;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.promotion.IntentWriteResult;
import org.geraniumproxy.core.promotion.PromotionIntent;

/** Platform operations that the {@link PromotionSupervisor} uses. All methods are called on the control thread. */
public interface PromotionPlatform {
    /**
     * Returns the name under which this process holds the promotion lease.
     *
     * @return name that no other process has
     */
    String holder();

    /**
     * Returns the fencing token while this VM holds the promotion lease.
     *
     * @return the token, or empty if another VM may hold the lease
     */
    OptionalLong fencingToken();

    /**
     * Returns the last promotion intent of a group.
     *
     * @param group the group
     * @return the intent, or empty if none was recorded
     */
    Optional<PromotionIntent> promotionIntent(GroupName group);

    /**
     * Records a promotion intent in the store, where a later lease holder finds it. The store executes a call late only
     * if neither the intent nor the lease has changed since.
     *
     * @param group the group
     * @param intent replaces the previous intent of the group
     * @return whether the intent is stored; fails if the store gives no answer
     */
    CompletableFuture<IntentWriteResult> recordIntent(GroupName group, PromotionIntent intent);

    /**
     * Returns the recorded members of a group.
     *
     * @param group the group
     * @return the members, or empty if none were recorded
     */
    Optional<GroupMembers> recordedMembers(GroupName group);

    /**
     * Records the members of groups in the store, where processes that start later find them. The store executes a call
     * late only if neither the records nor the lease have changed since.
     *
     * @param members new members by group; at most {@link #maximumRecordedGroups} groups
     * @return whether the members are stored; fails if the store gives no answer
     */
    CompletableFuture<Boolean> recordMembers(Map<GroupName, GroupMembers> members);

    /**
     * Returns how many groups one call may record.
     *
     * @return number of groups
     */
    int maximumRecordedGroups();

    /**
     * Obtains a greater fencing token for this VM, which must hold the lease.
     *
     * @return completes when {@link #fencingToken} returns the new token; fails if the token may be unchanged
     */
    CompletableFuture<Void> renewFencingToken();

    /**
     * Requests the promotion of a database.
     *
     * @param group group of the database
     * @param target database to promote
     * @param token fencing token of the lease holder
     * @return outcome of the request
     */
    CompletableFuture<PromotionRequestOutcome> requestPromotion(GroupName group, BackendServerName target, long token);
}
