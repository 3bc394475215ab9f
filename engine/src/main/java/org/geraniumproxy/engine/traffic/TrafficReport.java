package org.geraniumproxy.engine.traffic;

import java.util.Map;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.directory.DatabaseHealth;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Periodic report of the traffic thread to the control thread.
 *
 * @param health health of each database as observed by this VM
 * @param newestTerms newest term of each group that a primary has reported
 * @param acknowledged position of each group up to which commits have been acknowledged
 * @param enforced newest promotion of each group that bounds the acknowledgements of this VM
 * @param primaryPositions newest position of each primary that this VM has read
 */
public record TrafficReport(
        Map<BackendServerName, DatabaseHealth> health,
        Map<GroupName, Long> newestTerms,
        Map<GroupName, LogPosition> acknowledged,
        Map<GroupName, String> enforced,
        Map<GroupName, PrimaryPositionHistory.Sample> primaryPositions) {
    /** Makes immutable copies of the maps. */
    public TrafficReport {
        health = Map.copyOf(health);
        newestTerms = Map.copyOf(newestTerms);
        acknowledged = Map.copyOf(acknowledged);
        enforced = Map.copyOf(enforced);
        primaryPositions = Map.copyOf(primaryPositions);
    }
}
