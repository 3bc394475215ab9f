package org.geraniumproxy.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;

/** Ranks the VMs for a group: rank 0 is its coordinator, rank 1 its standby. */
public final class CoordinatorSelection {
    /** Rank of the coordinator. */
    public static final int COORDINATOR = 0;

    /** Rank of the standby. */
    public static final int STANDBY = 1;

    private CoordinatorSelection() {}

    /**
     * Ranks the available VMs of the roster for a group.
     *
     * @param group the group
     * @param primary the primary as all VMs know it, or empty while none is known
     * @param roster the roster
     * @param unavailableVms VMs that are down or leaving
     * @return the names in order: first the VMs in the region of the primary, or of the first backend server while no
     *     primary is known, then the others
     */
    public static List<VmName> rank(
            DatabaseGroup group, Optional<BackendServerName> primary, Roster roster, Set<VmName> unavailableVms) {
        RegionName preferredRegion = primary.flatMap(group::find)
                .orElse(group.backendServers().getFirst())
                .region();
        List<Vm> available = roster.vms().stream()
                .filter(vm -> !vm.leaving())
                .filter(vm -> !unavailableVms.contains(vm.name()))
                .toList();
        List<Vm> ranked = RendezvousHash.rank(
                group.name().value(), available, vm -> vm.name().value());
        Stream<Vm> near = ranked.stream().filter(vm -> vm.region().equals(preferredRegion));
        Stream<Vm> far = ranked.stream().filter(vm -> !vm.region().equals(preferredRegion));
        return Stream.concat(near, far).map(Vm::name).toList();
    }
}
