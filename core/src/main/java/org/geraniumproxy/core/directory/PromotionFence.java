package org.geraniumproxy.core.directory;

import java.util.Objects;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Bound that a promotion sets on the commits of a group. The promoted log holds what the target had received when the
 * promotion was decided, and nothing that another database confirms later.
 *
 * @param promotion identifies the decision
 * @param target database that is to lead
 * @param lastPosition end of the target's log at the decision, or empty if the decision does not name it
 */
public record PromotionFence(String promotion, BackendServerName target, Optional<LogPosition> lastPosition) {
    /** Validates the fence. */
    public PromotionFence {
        Objects.requireNonNull(promotion, "promotion");
        Objects.requireNonNull(target, "target");
        Objects.requireNonNull(lastPosition, "lastPosition");
    }

    /**
     * Returns whether the promoted log is known to hold the commits up to a position. It need not hold all commits of
     * earlier terms, of which another promotion may have cut off the end.
     */
    boolean covers(Optional<LogPosition> position) {
        return position.filter(known -> lastPosition
                        .filter(last -> last.term().equals(known.term()) && last.compareTo(known) >= 0)
                        .isPresent())
                .isPresent();
    }
}
