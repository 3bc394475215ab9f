package org.geraniumproxy.core.fleet;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.directory.PromotionFence;
import org.geraniumproxy.core.directory.PromotionFences;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.promotion.PromotionIntent;

/**
 * Newest promotion intent of a group, and the earlier ones that still bound the commits of its databases.
 *
 * @param intent newest intent
 * @param revision revision of the store at which it was recorded
 * @param earlier earlier intents that are recent and were not refused, oldest first
 * @param inEffect whether the target was known to lead by the newest intent
 */
record TrackedPromotion(
        PromotionIntent intent, StoreRevision revision, List<PromotionIntent> earlier, boolean inEffect) {
    /** Number of earlier intents that are remembered: more than a holder records while one of them is recent. */
    private static final int MAXIMUM_EARLIER = 64;

    TrackedPromotion {
        earlier = List.copyOf(earlier);
    }

    static TrackedPromotion of(PromotionIntent intent, StoreRevision revision) {
        return new TrackedPromotion(intent, revision, List.of(), false);
    }

    /** Returns the state after a newer intent of the group was recorded. */
    TrackedPromotion replacedBy(PromotionIntent next, StoreRevision nextRevision) {
        List<PromotionIntent> remaining = new ArrayList<>(earlier);
        remaining.add(inEffect ? intent.taken() : intent);
        remaining.removeIf(known -> known.progress() == PromotionIntent.Progress.REFUSED
                || !known.isRecent(next.learnedAt())
                || known.fence().promotion().equals(next.fence().promotion()));
        if (next.progress() == PromotionIntent.Progress.REFUSED) {
            // An intent is refused only when no copy of an earlier request can take effect any more.
            remaining = onlyTaken(remaining);
        }
        int first = Math.max(0, remaining.size() - MAXIMUM_EARLIER);
        return new TrackedPromotion(next, nextRevision, remaining.subList(first, remaining.size()), false);
    }

    /** Returns the state with the newest evidence of the primary. A target that led may restart under another name. */
    TrackedPromotion refreshed(GroupDirectory directory) {
        boolean leads = inEffect || hasTakenEffect(directory);
        return leads == inEffect ? this : new TrackedPromotion(intent, revision, earlier, leads);
    }

    /**
     * Returns the bounds on the commits of the group at this time. An answer that a database gave before it lost the
     * lead arrives within the time limit of a statement, so they end when no copy of the request can take effect.
     */
    PromotionFences fences(GroupDirectory directory, Instant now) {
        if (!intent.isRecent(now)) {
            return PromotionFences.NONE;
        }
        return switch (intent.progress()) {
            case REFUSED -> settled(earlier);
            case TAKEN -> isOvertaken(directory) ? PromotionFences.NONE : settled(withIntent());
            case OPEN -> {
                if (inEffect) {
                    yield settled(withIntent());
                }
                yield new PromotionFences(toFences(withIntent()), Optional.of(intent.learnedAt()));
            }
        };
    }

    private static PromotionFences settled(List<PromotionIntent> intents) {
        return new PromotionFences(toFences(intents), Optional.empty());
    }

    private List<PromotionIntent> withIntent() {
        List<PromotionIntent> all = new ArrayList<>(earlier);
        all.add(intent);
        return all;
    }

    private static List<PromotionIntent> onlyTaken(List<PromotionIntent> intents) {
        return intents.stream()
                .filter(known -> known.progress() == PromotionIntent.Progress.TAKEN)
                .toList();
    }

    private static List<PromotionFence> toFences(List<PromotionIntent> intents) {
        return intents.stream().map(PromotionIntent::fence).toList();
    }

    /**
     * Returns whether the target leads by this promotion. A database reports a change of its role at once, so an entry
     * that was written after the intent shows it without an answer to the request. A new term that another database
     * reports shows nothing.
     */
    private boolean hasTakenEffect(GroupDirectory directory) {
        boolean reported = Optional.ofNullable(directory.databases().get(intent.target()))
                .filter(DatabaseEntry::primary)
                .filter(entry -> entry.revision().isAfter(revision))
                .isPresent();
        boolean claimed = directory
                .claim()
                .filter(claim -> claim.database().equals(intent.target()))
                .filter(claim -> claim.term() >= intent.term())
                .isPresent();
        return reported || claimed;
    }

    /** Returns whether another database was found to lead since the promotion was accepted. */
    private boolean isOvertaken(GroupDirectory directory) {
        return directory
                .claim()
                .filter(claim -> claim.term() > intent.term())
                .filter(claim -> !claim.database().equals(intent.target()))
                .isPresent();
    }
}
