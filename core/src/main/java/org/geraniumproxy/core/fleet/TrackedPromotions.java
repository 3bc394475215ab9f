package org.geraniumproxy.core.fleet;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.PromotionFence;
import org.geraniumproxy.core.directory.PromotionFences;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.promotion.PromotionIntent;

/**
 * The promotion intents that this VM knows from the store or from other VMs.
 *
 * @param byGroup newest intent of each group
 * @param fences bounds that the promotions set on the commits of each group
 */
record TrackedPromotions(Map<GroupName, TrackedPromotion> byGroup, Map<GroupName, PromotionFences> fences) {
    static final TrackedPromotions NONE = new TrackedPromotions(Map.of(), Map.of());

    TrackedPromotions {
        byGroup = Map.copyOf(byGroup);
        fences = Map.copyOf(fences);
    }

    /** Returns the state after an intent was learned, unless it is not newer than the known one. */
    TrackedPromotions learn(GroupName group, PromotionIntent intent, StoreRevision revision) {
        TrackedPromotion known = byGroup.get(group);
        if (known != null && !revision.isAfter(known.revision())) {
            return this;
        }
        Map<GroupName, TrackedPromotion> next = new HashMap<>(byGroup);
        next.put(group, known == null ? TrackedPromotion.of(intent, revision) : known.replacedBy(intent, revision));
        return new TrackedPromotions(next, fences);
    }

    /** Returns the state with the bounds that are in force at this time. */
    TrackedPromotions refresh(
            Function<GroupName, GroupDirectory> directories,
            ToLongFunction<GroupName> newestTerms,
            Instant now,
            List<FleetEffect> effects) {
        Map<GroupName, PromotionFences> next = new HashMap<>();
        byGroup.forEach((group, promotion) ->
                next.put(group, promotion.fences(directories.apply(group), newestTerms.applyAsLong(group), now)));
        if (next.equals(fences)) {
            return this;
        }
        next.forEach((group, changed) -> {
            PromotionFences previous = fences.getOrDefault(group, PromotionFences.NONE);
            if (!changed.equals(previous)) {
                effects.add(new FleetEffect.Log(
                        "promotion fence changed",
                        "group=" + group + " open=" + changed.isOpen() + " fence="
                                + changed.newest().map(PromotionFence::toString).orElse("none") + " previouslyOpen="
                                + previous.isOpen()));
            }
        });
        return new TrackedPromotions(byGroup, next);
    }
}
