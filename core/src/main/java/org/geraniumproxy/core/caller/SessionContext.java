package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.Map;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;

/**
 * What a session's decision may look at.
 *
 * @param view the published view
 * @param positions proven positions of the primaries
 * @param loads load of each database
 * @param now the present moment
 */
public record SessionContext(
        TrafficView view,
        Map<GroupName, ProvenPositions> positions,
        Map<BackendServerName, DatabaseLoad> loads,
        Instant now) {}
