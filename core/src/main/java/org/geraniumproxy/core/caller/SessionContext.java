package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.Map;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * Input of a session's decisions besides its own state.
 *
 * @param view the view published by the control thread
 * @param primaryHistory confirmed positions of the primary of the session's group, none if the session has no group
 * @param loads load of each known database of the group
 * @param now the current time
 * @param random random number from 0 (inclusive) to 1 (exclusive) for the choice of a database
 */
public record SessionContext(
        TrafficView view,
        PrimaryPositionHistory primaryHistory,
        Map<BackendServerName, DatabaseLoad> loads,
        Instant now,
        double random) {
    /** Makes an unmodifiable copy of the loads. */
    public SessionContext {
        loads = Map.copyOf(loads);
    }
}
