package org.geraniumproxy.core.directory;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * The promotions of a group that this VM knows of, as bounds on the commits that callers may be told of. They keep the
 * evidence of a promotion valid from its decision until it takes effect: a commit that a promoted log may lack is not
 * acknowledged, whichever databases confirm it.
 *
 * @param fences decided promotions that were not refused, oldest first
 * @param openSince time at which this VM learned of the newest one, if that may still take effect
 */
public record PromotionFences(List<PromotionFence> fences, Optional<Instant> openSince) {
    /** No promotion is known. */
    public static final PromotionFences NONE = new PromotionFences(List.of(), Optional.empty());

    /**
     * Copies the list.
     *
     * @throws IllegalArgumentException if the newest promotion is open and there is none
     */
    public PromotionFences {
        fences = List.copyOf(fences);
        if (openSince.isPresent() && fences.isEmpty()) {
            throw new IllegalArgumentException("no promotion can be open because none is known");
        }
    }

    /**
     * Returns whether the newest promotion may still take effect.
     *
     * @return true until it is known to have taken effect or to have been refused
     */
    public boolean isOpen() {
        return openSince.isPresent();
    }

    /**
     * Returns the newest promotion.
     *
     * @return the promotion, or empty if none is known
     */
    public Optional<PromotionFence> newest() {
        return fences.isEmpty() ? Optional.empty() : Optional.of(fences.getLast());
    }

    /**
     * Returns whether a caller may be told of a commit. Each promotion of another database since the last one of this
     * database bounds its commits; the newest promotion bounds those of its target too, until it is known to have taken
     * effect.
     *
     * @param database database that confirmed the commit
     * @param position position that its log had reached when it confirmed the commit, or empty if it is unknown
     * @return false if a promoted log may lack the commit
     */
    public boolean mayAcknowledge(BackendServerName database, Optional<LogPosition> position) {
        for (int index = fences.size() - 1; index >= 0; index--) {
            PromotionFence fence = fences.get(index);
            boolean undecided = isOpen() && index == fences.size() - 1;
            if (fence.target().equals(database) && !undecided) {
                return true;
            }
            if (!fence.covers(position)) {
                return false;
            }
        }
        return true;
    }
}
