package org.geraniumproxy.core.fleet;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
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
 * @param reportedTerms newest term of each group that a database has reported in its status
 */
record TrackedPromotions(
        Map<GroupName, TrackedPromotion> byGroup,
        Map<GroupName, PromotionFences> fences,
        Map<GroupName, Long> reportedTerms) {
    static final TrackedPromotions NONE = new TrackedPromotions(Map.of(), Map.of(), Map.of());

    TrackedPromotions {
        byGroup = Map.copyOf(byGroup);
        fences = Map.copyOf(fences);
        reportedTerms = Map.copyOf(reportedTerms);
    }

    /** Returns the state after a database has reported a term. */
    TrackedPromotions reported(GroupName group, long term) {
        Map<GroupName, Long> next = new HashMap<>(reportedTerms);
        next.merge(group, term, Math::max);
        return new TrackedPromotions(byGroup, fences, next);
    }

    /** Returns the state after an intent was learned, unless it is not newer than the known one. */
    TrackedPromotions learn(GroupName group, PromotionIntent intent, StoreRevision revision) {
        TrackedPromotion known = byGroup.get(group);
        if (known != null && !revision.isAfter(known.revision())) {
            return this;
        }
        Map<GroupName, TrackedPromotion> next = new HashMap<>(byGroup);
        next.put(group, known == null ? TrackedPromotion.of(intent, revision) : known.replacedBy(intent, revision));
        return new TrackedPromotions(next, fences, reportedTerms);
    }

    /** Returns the state with the bounds that are in force at this time. */
    TrackedPromotions refresh(Function<GroupName, GroupDirectory> directories, Instant now, List<FleetEffect> effects) {
        if (byGroup.isEmpty()) {
            return this;
        }
        Map<GroupName, TrackedPromotion> refreshed = new HashMap<>(byGroup);
        Map<GroupName, PromotionFences> next = new HashMap<>();
        byGroup.forEach((group, promotion) -> {
            if (promotion.intent().isRecent(now)) {
                GroupDirectory directory = directories.apply(group);
                TrackedPromotion latest = promotion.refreshed(directory);
                refreshed.put(group, latest);
                next.put(group, latest.fences(directory, now));
            }
        });
        if (next.equals(fences) && refreshed.equals(byGroup)) {
            return this;
        }
        byGroup.keySet().forEach(group -> logChange(group, next, effects));
        return new TrackedPromotions(refreshed, next, reportedTerms);
    }

    private void logChange(GroupName group, Map<GroupName, PromotionFences> next, List<FleetEffect> effects) {
        PromotionFences previous = fences.getOrDefault(group, PromotionFences.NONE);
        PromotionFences changed = next.getOrDefault(group, PromotionFences.NONE);
        if (!changed.equals(previous)) {
            effects.add(new FleetEffect.Log(
                    "promotion fence changed",
                    "group=" + group + " open=" + changed.isOpen() + " fence="
                            + changed.newest().map(PromotionFence::toString).orElse("none") + " previouslyOpen="
                            + previous.isOpen()));
        }
    }

    /** Returns whether the target of an open intent was seen to lead by it. */
    boolean isInEffect(GroupName group, PromotionIntent intent) {
        TrackedPromotion known = byGroup.get(group);
        return known != null
                && known.inEffect()
                && intent.progress() == PromotionIntent.Progress.OPEN
                && known.intent().fence().promotion().equals(intent.fence().promotion());
    }

    /** Returns the intents of promotions that may be in progress, which other VMs may need to learn from this one. */
    Map<GroupName, PromotionNotice> notices(Map<GroupName, String> enforced, Instant now) {
        Map<GroupName, PromotionNotice> notices = new HashMap<>();
        byGroup.forEach((group, promotion) -> {
            PromotionIntent intent = promotion.intent();
            if (intent.isRecent(now)) {
                boolean isEnforced = intent.fence().promotion().equals(enforced.get(group));
                notices.put(group, new PromotionNotice(intent, promotion.revision(), isEnforced));
            }
        });
        return notices;
    }
}
