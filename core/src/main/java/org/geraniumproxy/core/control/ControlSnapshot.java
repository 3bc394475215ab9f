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
 * What the control thread publishes to traffic threads after each event.
 *
 * @param self the VM of this process
 * @param configuration the newest known configuration
 * @param roster the newest known roster
 * @param unavailableVms VMs of the roster that are down or leaving
 * @param viewProvenAt start of the newest exchange that proved the view current, on this VM's clock; empty before the
 *     first
 * @param draining whether this process is being stopped
 * @param groups views of the groups that this VM coordinates or stands by for
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
     * Greatest age of the view at which a proxy still serves. Key withdrawal within 5 s leaves 2 s for the change to
     * reach a majority of the voters.
     */
    public static final Duration MAXIMUM_VIEW_AGE = Duration.ofSeconds(3);

    /** Copies the collections. */
    public ControlSnapshot {
        unavailableVms = Set.copyOf(unavailableVms);
        groups = Map.copyOf(groups);
    }

    /**
     * Returns the snapshot of a process that has learned nothing yet.
     *
     * @param self the VM of this process
     * @return the snapshot
     */
    public static ControlSnapshot initial(VmName self) {
        return new ControlSnapshot(
                self, ConfigurationRevision.NONE, Roster.EMPTY, Set.of(), Optional.empty(), false, Map.of());
    }

    /**
     * Tells whether the view is proven to be young enough to serve.
     *
     * @param now the present moment on this VM's clock
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
     * @return the configuration
     */
    public Configuration currentConfiguration() {
        return configuration.configuration();
    }
}
