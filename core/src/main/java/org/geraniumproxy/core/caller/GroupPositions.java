package org.geraniumproxy.core.caller;

import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Log positions of a group that this VM has learned from its traffic.
 *
 * @param primaryHistory confirmed positions of the primary
 * @param highestTerm highest term reported by a primary, 0 if none was reported
 * @param acknowledgedCommit lower bound for the position of the last acknowledged commit, or empty if there is none
 */
public record GroupPositions(
        PrimaryPositionHistory primaryHistory, long highestTerm, Optional<LogPosition> acknowledgedCommit) {
    /** No position is known. */
    public static final GroupPositions NONE = new GroupPositions(PrimaryPositionHistory.NONE, 0, Optional.empty());

    /**
     * Adds a confirmed position of the primary.
     *
     * @param sample the position and the time that it covers
     * @return the updated positions
     */
    public GroupPositions with(PrimaryPositionHistory.Sample sample) {
        long term = sample.position().term().number();
        return new GroupPositions(primaryHistory.with(sample), Math.max(highestTerm, term), acknowledgedCommit);
    }

    /**
     * Records an acknowledged commit.
     *
     * @param lowerBound a position at or before the position of the commit
     * @return the updated positions
     */
    public GroupPositions withAcknowledgedCommit(LogPosition lowerBound) {
        boolean isLater =
                acknowledgedCommit.map(known -> lowerBound.compareTo(known) > 0).orElse(true);
        return isLater ? new GroupPositions(primaryHistory, highestTerm, Optional.of(lowerBound)) : this;
    }

    /**
     * Drops the primary position history, whose times are invalid after a clock jump.
     *
     * @return the highest term and the acknowledged commit without any history
     */
    public GroupPositions withoutSamples() {
        return new GroupPositions(PrimaryPositionHistory.NONE, highestTerm, acknowledgedCommit);
    }
}
