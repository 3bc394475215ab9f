package org.geraniumproxy.core.caller;

import java.time.Duration;
import java.util.Map;
import org.geraniumproxy.core.balance.LoadReports;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Positions of the primaries that a VM watches. A position covers every commit that was acknowledged before the request
 * was sent less the age: the answer was written later than the request, and the position was proven that long before
 * the answer.
 *
 * @param requestId identifier of the request
 * @param positions newest position of each group
 * @param loads load of the databases that the request named, by the other VMs that asked
 */
public record PositionAnswer(long requestId, Map<GroupName, AgedPosition> positions, LoadReports.Sums loads) {
    /**
     * A position of a primary.
     *
     * @param position the position
     * @param age time since the request was sent that proved it, not negative
     */
    public record AgedPosition(LogPosition position, Duration age) {
        /**
         * Validates the age.
         *
         * @throws IllegalArgumentException if the age is negative
         */
        public AgedPosition {
            if (age.isNegative()) {
                throw new IllegalArgumentException("the age of a position must not be negative");
            }
        }
    }

    /** Copies the map. */
    public PositionAnswer {
        positions = Map.copyOf(positions);
    }
}
