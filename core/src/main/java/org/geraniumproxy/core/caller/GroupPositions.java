package org.geraniumproxy.core.caller;

import java.util.Optional;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * What this VM's traffic shows about the log of a group.
 *
 * @param primaryHistory positions of the primary
 * @param highestTerm newest term that a primary named, zero if none did
 * @param acknowledgedCommit position at or before that of the last acknowledged commit
 */
public record GroupPositions(
        PrimaryPositionHistory primaryHistory, long highestTerm, Optional<LogPosition> acknowledgedCommit) {
    /** Nothing was seen. */
    public static final GroupPositions NONE = new GroupPositions(PrimaryPositionHistory.NONE, 0, Optional.empty());

    /**
     * Adds a position of the primary.
     *
     * @param sample the position
     * @return the positions
     */
    public GroupPositions with(PrimaryPositionHistory.Sample sample) {
        long term = sample.position().term().number();
        return new GroupPositions(primaryHistory.with(sample), Math.max(highestTerm, term), acknowledgedCommit);
    }

    /**
     * Records an acknowledged commit.
     *
     * @param lowerBound a position at or before that of the commit
     * @return the positions
     */
    public GroupPositions withAcknowledgedCommit(LogPosition lowerBound) {
        boolean isLater =
                acknowledgedCommit.map(known -> lowerBound.compareTo(known) > 0).orElse(true);
        return isLater ? new GroupPositions(primaryHistory, highestTerm, Optional.of(lowerBound)) : this;
    }

    /**
     * Forgets the moments of the positions, which a clock that jumped no longer tells.
     *
     * @return the positions without samples
     */
    public GroupPositions withoutSamples() {
        return new GroupPositions(PrimaryPositionHistory.NONE, highestTerm, acknowledgedCommit);
    }
}
