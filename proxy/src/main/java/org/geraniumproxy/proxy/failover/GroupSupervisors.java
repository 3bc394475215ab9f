package org.geraniumproxy.proxy.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.failover.FailoverEvent;
import org.geraniumproxy.core.failover.GroupState;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.routing.CoordinatorSelection;

/**
 * Supervises the groups for which this VM is coordinator or standby.
 *
 * <p>The methods may be called from any thread. State is confined to the control executor, on which the callbacks and
 * futures complete too.
 */
public final class GroupSupervisors implements Durability, AutoCloseable {
    /**
     * Time for which a group is still supervised after other VMs have become its coordinator and standby. It equals the
     * maximum time that statements and transactions in flight have to end.
     */
    static final Duration STOP_DELAY = Duration.ofSeconds(30);

    private final VmName self;
    private final SupervisionResources resources;
    private final Consumer<GroupView> onView;
    private final Consumer<GroupName> onWithdrawn;
    private final Map<GroupName, GroupSupervision> supervisions = new HashMap<>();
    private final Map<GroupName, Instant> pendingStops = new HashMap<>();
    private Set<BackendServerName> leavingServers = Set.of();
    private boolean closed;

    /**
     * Creates supervisors without groups.
     *
     * @param self name of this VM
     * @param resources clients, clock and executors that all groups share
     * @param onView receives each changed view
     * @param onWithdrawn receives the name of each group whose supervision has stopped
     */
    public GroupSupervisors(
            VmName self, SupervisionResources resources, Consumer<GroupView> onView, Consumer<GroupName> onWithdrawn) {
        this.self = self;
        this.resources = resources;
        this.onView = onView;
        this.onWithdrawn = onWithdrawn;
    }

    /**
     * Starts and stops the supervision of groups according to the rank of this VM.
     *
     * @param configuration the newest configuration
     * @param roster the newest roster
     * @param unavailableVms VMs of the roster that are down or leaving
     */
    public void update(Configuration configuration, Roster roster, Set<VmName> unavailableVms) {
        resources.control().execute(() -> apply(configuration, roster, unavailableVms));
    }

    /**
     * Sets which backend servers the platform's list marks as leaving.
     *
     * @param backendServers all marked servers; servers that are missing here are no longer leaving
     */
    public void updateLeaving(Set<BackendServerName> backendServers) {
        resources.control().execute(() -> {
            leavingServers = Set.copyOf(backendServers);
            supervisions
                    .values()
                    .forEach(
                            supervision -> supervision.onEvent(new FailoverEvent.LeavingServersListed(leavingServers)));
        });
    }

    @Override
    public CompletableFuture<Boolean> awaitDurable(GroupName group, LogPosition write, Instant deadline) {
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        resources.control().execute(() -> {
            GroupSupervision supervision = supervisions.get(group);
            if (supervision == null) {
                result.complete(false);
            } else {
                supervision.waiters().awaitDurable(write, deadline, result);
            }
        });
        return result;
    }

    @Override
    public CompletableFuture<Void> awaitChange(GroupName group, Instant deadline) {
        CompletableFuture<Void> result = new CompletableFuture<>();
        resources.control().execute(() -> {
            GroupSupervision supervision = supervisions.get(group);
            if (supervision == null) {
                result.complete(null);
            } else {
                supervision.waiters().awaitChange(deadline, result);
            }
        });
        return result;
    }

    /** Stops the supervision of all groups. */
    @Override
    public void close() {
        resources.control().execute(() -> {
            closed = true;
            Set.copyOf(supervisions.keySet()).forEach(this::stop);
        });
    }

    private void apply(Configuration configuration, Roster roster, Set<VmName> unavailableVms) {
        if (closed) {
            return;
        }
        Set<GroupName> ranked = new HashSet<>();
        for (DatabaseGroup group : configuration.groups().values()) {
            OptionalInt rank = CoordinatorSelection.rankOf(group, roster, unavailableVms, self);
            if (rank.isPresent()) {
                ranked.add(group.name());
                supervise(group, roster.find(self).orElseThrow(), rank.getAsInt());
            }
        }
        for (GroupName name : Set.copyOf(supervisions.keySet())) {
            if (!configuration.groups().containsKey(name)) {
                stop(name);
            } else if (!ranked.contains(name)) {
                scheduleStop(name);
            }
        }
    }

    private void supervise(DatabaseGroup group, Vm vm, int rank) {
        pendingStops.remove(group.name());
        GroupSupervision supervision = supervisions.get(group.name());
        if (supervision != null && supervision.state().self().index() != vm.index()) {
            // Terms contain the index of the VM to be unique, so an index that this VM has released must not be used.
            stop(group.name());
            supervision = null;
        }
        if (supervision == null) {
            start(group, vm, rank);
            return;
        }
        if (!supervision.state().group().equals(group)) {
            supervision.onEvent(new FailoverEvent.GroupChanged(group));
        }
        if (supervision.state().rank() != rank) {
            supervision.onEvent(new FailoverEvent.RankChanged(rank));
        }
    }

    private void start(DatabaseGroup group, Vm vm, int rank) {
        GroupState initial = GroupState.initial(group, vm, rank, resources.policy());
        GroupSupervision supervision = new GroupSupervision(resources, initial, onView);
        supervisions.put(group.name(), supervision);
        supervision.start();
        supervision.onEvent(new FailoverEvent.LeavingServersListed(leavingServers));
    }

    /** Delays the stop, because requests in flight still need the group's view and the confirmation of their writes. */
    private void scheduleStop(GroupName name) {
        Instant end = resources.clock().instant().plus(STOP_DELAY);
        if (pendingStops.putIfAbsent(name, end) == null) {
            supervisions.get(name).onEvent(new FailoverEvent.RankChanged(CoordinatorSelection.STANDBY_RANK));
            var unused = resources.after(STOP_DELAY, () -> stopIfDue(name));
        }
    }

    private void stopIfDue(GroupName name) {
        Instant end = pendingStops.get(name);
        if (end != null && !resources.clock().instant().isBefore(end)) {
            stop(name);
        }
    }

    private void stop(GroupName name) {
        pendingStops.remove(name);
        GroupSupervision supervision = supervisions.remove(name);
        if (supervision != null) {
            supervision.close();
            onWithdrawn.accept(name);
        }
    }
}
