package org.geraniumproxy.engine.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.caller.GroupPositions;
import org.geraniumproxy.core.caller.PrimaryPositionHistory;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;

/** Log positions of the primaries that this VM has learned. Used on the traffic thread. */
final class PrimaryPositions {
    private final Map<GroupName, GroupPositions> byGroup = new HashMap<>();

    PrimaryPositionHistory historyOf(GroupName group) {
        return of(group).primaryHistory();
    }

    void record(GroupName group, PrimaryPositionHistory.Sample sample) {
        byGroup.put(group, of(group).with(sample));
    }

    void recordAcknowledgedCommit(GroupName group, LogPosition lowerBound) {
        byGroup.put(group, of(group).withAcknowledgedCommit(lowerBound));
    }

    /** Drops the samples, whose times of sending are not valid any more after a clock jump. */
    void dropSamples() {
        byGroup.replaceAll((_, known) -> known.withoutSamples());
    }

    /** Returns the newest sample of each of the groups that has one. */
    Map<GroupName, PrimaryPositionHistory.Sample> latestSamples(Set<GroupName> groups) {
        Map<GroupName, PrimaryPositionHistory.Sample> latest = new HashMap<>();
        groups.forEach(group -> historyOf(group).latestSample().ifPresent(sample -> latest.put(group, sample)));
        return latest;
    }

    Map<GroupName, Long> newestTerms() {
        Map<GroupName, Long> terms = new HashMap<>();
        byGroup.forEach((group, known) -> terms.put(group, known.highestTerm()));
        return terms;
    }

    Map<GroupName, LogPosition> acknowledgedCommits() {
        Map<GroupName, LogPosition> acknowledged = new HashMap<>();
        byGroup.forEach(
                (group, known) -> known.acknowledgedCommit().ifPresent(position -> acknowledged.put(group, position)));
        return acknowledged;
    }

    private GroupPositions of(GroupName group) {
        return byGroup.getOrDefault(group, GroupPositions.NONE);
    }
}
