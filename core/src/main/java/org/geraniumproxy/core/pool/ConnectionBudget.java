package org.geraniumproxy.core.pool;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.HolderPosition;
import org.geraniumproxy.core.limit.LimitTiming;
import org.geraniumproxy.core.limit.ShareSchedule;
import org.geraniumproxy.core.routing.CoordinatorSelection;

/**
 * Connections that this VM may hold to each database of a group. The coordinator holds all but the standby's part; the
 * shares of both sum to the connections of the database. When the ranks change, the smaller share counts at once and
 * the larger one only after the view bound.
 *
 * @param schedule the ranks in play
 */
public record ConnectionBudget(ShareSchedule schedule) {
    /** Nothing is known yet. */
    public static final ConnectionBudget UNKNOWN = new ConnectionBudget(ShareSchedule.UNKNOWN);

    /** A connection is no loan, so a larger share waits for the view bound alone. */
    private static final LimitTiming TIMING = new LimitTiming(
            ControlSnapshot.MAXIMUM_VIEW_AGE, Duration.ZERO, Duration.ZERO, ControlSnapshot.MAXIMUM_VIEW_AGE);

    /** VMs that hold connections: coordinator and standby. */
    private static final int HOLDERS = CoordinatorSelection.STANDBY_RANK + 1;

    /**
     * Takes a look at the ranks.
     *
     * @param snapshot what this VM knows
     * @param group the group
     * @param now the present moment
     * @return the budget after the look
     */
    public ConnectionBudget observe(ControlSnapshot snapshot, DatabaseGroup group, Instant now) {
        List<VmName> ranked =
                CoordinatorSelection.rank(group, Optional.empty(), snapshot.roster(), snapshot.unavailableVms());
        List<VmName> holders = ranked.subList(0, Math.min(HOLDERS, ranked.size()));
        return observe(snapshot.self(), holders, snapshot.viewProvenAt(), now);
    }

    /**
     * Takes a look at the ranks.
     *
     * @param self this VM
     * @param holders coordinator and standby
     * @param provenAt start of the newest exchange that proved the view current
     * @param now the present moment
     * @return the budget after the look
     */
    public ConnectionBudget observe(VmName self, List<VmName> holders, Optional<Instant> provenAt, Instant now) {
        return new ConnectionBudget(schedule.observe(self, holders, provenAt, now, TIMING));
    }

    /**
     * Returns the connections that this VM may hold to one database.
     *
     * @param group the group
     * @return the number
     */
    public int connections(DatabaseGroup group) {
        return schedule.activePositions().stream()
                .mapToInt(position -> connections(position, group))
                .min()
                .orElse(0);
    }

    private static int connections(HolderPosition position, DatabaseGroup group) {
        return switch (position.index()) {
            case CoordinatorSelection.COORDINATOR_RANK -> group.connections() - group.standbyConnections();
            case CoordinatorSelection.STANDBY_RANK -> group.standbyConnections();
            default -> 0;
        };
    }
}
