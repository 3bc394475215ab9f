package org.geraniumproxy.core.fleet;

import java.time.Instant;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * A position that the log of a primary must reach, because commits up to it were acknowledged to callers.
 *
 * @param position the position
 * @param advancedAt moment at which this VM learned of it
 */
record AcknowledgedPosition(LogPosition position, Instant advancedAt) {
    static AcknowledgedPosition laterOf(AcknowledgedPosition first, AcknowledgedPosition second) {
        return second.position().compareTo(first.position()) > 0 ? second : first;
    }
}
