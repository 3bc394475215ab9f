package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.Map;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * What a session's decision may look at.
 *
 * @param view the published view
 * @param primaryHistory proven positions of the primary of the session's group, none if it has no group
 * @param loads load of each database of the group
 * @param now the present moment
 */
public record SessionContext(
        TrafficView view,
        PrimaryPositionHistory primaryHistory,
        Map<BackendServerName, DatabaseLoad> loads,
        Instant now) {
    /** Copies the map. */
    public SessionContext {
        loads = Map.copyOf(loads);
    }
}
