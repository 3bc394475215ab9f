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
 * Number of connections that this VM may hold to each database of a group. The shares of coordinator and standby add up
 * to the connection limit of the database. When the ranking of the VMs changes, a smaller share applies at once and a
 * larger share only after the maximum view age, when the other VM must have learned of its smaller share.
 *
 * @param schedule the ranks of this VM that may be in effect
 */
public record ConnectionBudget(ShareSchedule schedule) {
    /** The budget before any ranking is known: no connections. */
    public static final ConnectionBudget UNKNOWN = new ConnectionBudget(ShareSchedule.UNKNOWN);

    /** A larger share waits for the maximum view age only, because connections are not lent to other VMs. */
    private static final LimitTiming TIMING = new LimitTiming(
            ControlSnapshot.MAXIMUM_VIEW_AGE, Duration.ZERO, Duration.ZERO, ControlSnapshot.MAXIMUM_VIEW_AGE);

    /** Number of VMs that hold connections: the coordinator and the standby. */
    private static final int HOLDERS = CoordinatorSelection.STANDBY_RANK + 1;

    /**
     * Updates the budget with the current ranking of the VMs.
     *
     * @param snapshot control state of this VM
     * @param group the database group
     * @param now the current time
     * @return the updated budget
     */
    public ConnectionBudget observe(ControlSnapshot snapshot, DatabaseGroup group, Instant now) {
        List<VmName> ranked =
                CoordinatorSelection.rank(group, Optional.empty(), snapshot.roster(), snapshot.unavailableVms());
        List<VmName> holders = ranked.subList(0, Math.min(HOLDERS, ranked.size()));
        return observe(snapshot.self(), holders, snapshot.viewProvenAt(), now);
    }

    /**
     * Updates the budget with the current ranking of the VMs.
     *
     * @param self name of this VM
     * @param holders the coordinator and the standby, in this order
     * @param provenAt start of the latest exchange that proved the view current, or empty if there was none
     * @param now the current time
     * @return the updated budget
     */
    public ConnectionBudget observe(VmName self, List<VmName> holders, Optional<Instant> provenAt, Instant now) {
        return new ConnectionBudget(schedule.observe(self, holders, provenAt, now, TIMING));
    }

    /**
     * Returns the number of connections that this VM may hold to one database of the group.
     *
     * @param group the database group
     * @return the lowest of the shares in effect, 0 if none is known
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
