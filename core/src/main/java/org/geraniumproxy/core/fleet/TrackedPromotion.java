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
 * @param earlier fences of earlier promotions that were not refused, oldest first
 */
record TrackedPromotion(PromotionIntent intent, StoreRevision revision, List<PromotionFence> earlier) {
    /**
     * Number of earlier promotions that are remembered. An answer of a database that has lost the lead arrives within
     * the time limit of a statement, in which a group changes its primary once or twice.
     */
    private static final int MAXIMUM_EARLIER = 8;

    TrackedPromotion {
        earlier = List.copyOf(earlier);
    }

    static TrackedPromotion of(PromotionIntent intent, StoreRevision revision) {
        return new TrackedPromotion(intent, revision, List.of());
    }

    /** Returns the state after a newer intent of the group was recorded. */
    TrackedPromotion replacedBy(PromotionIntent next, StoreRevision nextRevision) {
        List<PromotionFence> fences = new ArrayList<>(earlier);
        if (intent.progress() != PromotionIntent.Progress.REFUSED) {
            fences.add(intent.fence());
        }
        fences.removeIf(fence -> fence.promotion().equals(next.fence().promotion()));
        if (fences.size() > MAXIMUM_EARLIER) {
            fences = fences.subList(fences.size() - MAXIMUM_EARLIER, fences.size());
        }
        return new TrackedPromotion(next, nextRevision, fences);
    }

    /** Returns whether the request may still take effect and is not known to have done so. */
    boolean isOpen(GroupDirectory directory, long newestTerm, Instant now) {
        return intent.progress() == PromotionIntent.Progress.OPEN
                && intent.mayTakeEffect(now)
                && !hasTakenEffect(directory, newestTerm);
    }

    /** Returns the bounds on the commits of the group at this time. */
    PromotionFences fences(GroupDirectory directory, long newestTerm, Instant now) {
        boolean open = isOpen(directory, newestTerm, now);
        boolean inForce = switch (intent.progress()) {
            case OPEN -> open || hasTakenEffect(directory, newestTerm);
            case TAKEN -> true;
            case REFUSED -> false;
        };
        List<PromotionFence> fences = new ArrayList<>(earlier);
        if (inForce) {
            fences.add(intent.fence());
        }
        return new PromotionFences(fences, open);
    }

    /**
     * Returns whether the target leads by this promotion. A database reports a change of its role at once, so an entry
     * that was written after the intent shows it without an answer to the request.
     */
    private boolean hasTakenEffect(GroupDirectory directory, long newestTerm) {
        boolean reported = Optional.ofNullable(directory.databases().get(intent.target()))
                .filter(DatabaseEntry::primary)
                .filter(entry -> entry.revision().isAfter(revision))
                .isPresent();
        return reported || intent.hasTakenEffect(directory.primary().map(DatabaseEntry::name), newestTerm);
    }
}
