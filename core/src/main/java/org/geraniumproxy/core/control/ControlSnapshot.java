package org.geraniumproxy.core.control;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.ConfigurationRevision;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;

/**
 * Immutable state that the control thread publishes to the traffic threads after each event.
 *
 * @param self VM of this process
 * @param configuration newest known configuration
 * @param roster newest known roster
 * @param unavailableVms VMs of the roster that are down or shutting down
 * @param viewProvenAt start of the latest exchange that proved the view current, on this VM's clock; empty before the
 *     first
 * @param draining whether this process is draining before it stops
 * @param groups views of the groups for which this VM is coordinator or standby
 */
public record ControlSnapshot(
        VmName self,
        ConfigurationRevision configuration,
        Roster roster,
        Set<VmName> unavailableVms,
        Optional<Instant> viewProvenAt,
        boolean draining,
        Map<GroupName, GroupView> groups) {
    /**
     * Maximum age of the view at which a proxy serves requests. Keys must be withdrawn within 5 s, which leaves 2 s for
     * a change to reach a majority of the voters.
     */
    public static final Duration MAXIMUM_VIEW_AGE = Duration.ofSeconds(3);

    /** Copies the collections. */
    public ControlSnapshot {
        unavailableVms = Set.copyOf(unavailableVms);
        groups = Map.copyOf(groups);
    }

    /**
     * Returns the snapshot at process start.
     *
     * @param self VM of this process
     * @return snapshot without configuration, roster and groups
     */
    public static ControlSnapshot initial(VmName self) {
        return new ControlSnapshot(
                self, ConfigurationRevision.NONE, Roster.EMPTY, Set.of(), Optional.empty(), false, Map.of());
    }

    /**
     * Returns whether the view is proven to be recent enough to serve requests.
     *
     * @param now current time on this VM's clock
     * @return true if the age of the view is at most {@link #MAXIMUM_VIEW_AGE}
     */
    public boolean isViewCurrent(Instant now) {
        return viewProvenAt
                .map(provenAt -> Duration.between(provenAt, now).compareTo(MAXIMUM_VIEW_AGE) <= 0)
                .orElse(false);
    }

    /**
     * Returns the configuration without its revision.
     *
     * @return empty configuration before the first revision is known
     */
    public Configuration currentConfiguration() {
        return configuration.configuration();
    }
}
