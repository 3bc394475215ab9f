package org.geraniumproxy.core.fleet;

import java.time.Instant;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * The log position up to which commits of a group were acknowledged to callers. A new primary must hold the log up to
 * it.
 *
 * @param position last acknowledged position
 * @param advancedAt time at which this VM learned of it
 */
record AcknowledgedPosition(LogPosition position, Instant advancedAt) {
    static AcknowledgedPosition laterOf(AcknowledgedPosition first, AcknowledgedPosition second) {
        return second.position().compareTo(first.position()) > 0 ? second : first;
    }
}
