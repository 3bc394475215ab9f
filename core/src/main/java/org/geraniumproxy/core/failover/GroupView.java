package org.geraniumproxy.core.failover;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/**
 * Replication state of a group as its coordinator knows it. Traffic threads read it from the control snapshot.
 *
 * @param group the group
 * @param term the highest known term of a primary
 * @param primary the primary of that term, empty while there is none
 * @param statuses the latest status report of each database
 * @param samples positions of the current primary in ascending order of time
 * @param termStarts start positions of the known terms in ascending order
 */
public record GroupView(
        GroupName group,
        Term term,
        Optional<BackendServerName> primary,
        Map<BackendServerName, BackendStatus> statuses,
        List<PositionSample> samples,
        List<TermStart> termStarts) {
    /** Makes the collections immutable. */
    public GroupView {
        statuses = Map.copyOf(statuses);
        samples = List.copyOf(samples);
        termStarts = List.copyOf(termStarts);
    }

    /**
     * Returns the view of a group before any database has reported.
     *
     * @param group the group
     * @return the empty view
     */
    public static GroupView unknown(GroupName group) {
        return new GroupView(group, Term.NONE, Optional.empty(), Map.of(), List.of(), List.of());
    }
}
