package org.geraniumproxy.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;

/** Ranks the VMs for a group. Rank 0 is the coordinator, rank 1 the standby. */
public final class CoordinatorSelection {
    /** Rank of the coordinator. */
    public static final int COORDINATOR_RANK = 0;

    /** Rank of the standby. */
    public static final int STANDBY_RANK = 1;

    private CoordinatorSelection() {}

    /**
     * Ranks the available VMs of the roster for a group.
     *
     * @param group the group
     * @param primary the primary on which all VMs agree, empty while none is known
     * @param roster the roster
     * @param unavailableVms VMs that are down or leaving
     * @return names in rank order: first the VMs in the region of the primary (of the first backend server while no
     *     primary is known), then the others
     */
    public static List<VmName> rank(
            DatabaseGroup group, Optional<BackendServerName> primary, Roster roster, Set<VmName> unavailableVms) {
        RegionName preferredRegion = primary.flatMap(group::findBackendServer)
                .orElse(group.backendServers().getFirst())
                .region();
        List<Vm> available = roster.vms().stream()
                .filter(vm -> isAvailable(vm, unavailableVms))
                .toList();
        List<Vm> ranked = RendezvousHash.rank(
                group.name().value(), available, vm -> vm.name().value());
        Stream<Vm> preferred = ranked.stream().filter(vm -> vm.region().equals(preferredRegion));
        Stream<Vm> others = ranked.stream().filter(vm -> !vm.region().equals(preferredRegion));
        return Stream.concat(preferred, others).map(Vm::name).toList();
    }

    /**
     * Returns the rank of a VM if it is the coordinator or the standby of a group while no primary is known. It does
     * not sort all VMs: a low-ranking VM finds two better ones after a few comparisons.
     *
     * @param group the group
     * @param roster the roster
     * @param unavailableVms VMs that are down or leaving
     * @param self name of the VM
     * @return {@link #COORDINATOR_RANK}, {@link #STANDBY_RANK}, or empty if it ranks lower or is not available
     */
    public static OptionalInt rankOf(DatabaseGroup group, Roster roster, Set<VmName> unavailableVms, VmName self) {
        Optional<Vm> own = roster.find(self).filter(vm -> isAvailable(vm, unavailableVms));
        if (own.isEmpty()) {
            return OptionalInt.empty();
        }
        RegionName preferredRegion = group.backendServers().getFirst().region();
        Candidate candidate = Candidate.of(group, own.get(), preferredRegion);
        int betterRanked = (int) roster.vms().stream()
                .filter(vm -> isAvailable(vm, unavailableVms))
                .filter(vm -> Candidate.of(group, vm, preferredRegion).compareTo(candidate) < 0)
                .limit(STANDBY_RANK + 1L)
                .count();
        return betterRanked <= STANDBY_RANK ? OptionalInt.of(betterRanked) : OptionalInt.empty();
    }

    private static boolean isAvailable(Vm vm, Set<VmName> unavailableVms) {
        return !vm.leaving() && !unavailableVms.contains(vm.name());
    }

    /** Sort key of a VM in the ranking for a group, best first. */
    private record Candidate(boolean inPreferredRegion, long score, VmName name) implements Comparable<Candidate> {
        static Candidate of(DatabaseGroup group, Vm vm, RegionName preferredRegion) {
            long score = RendezvousHash.score(group.name().value(), vm.name().value());
            return new Candidate(vm.region().equals(preferredRegion), score, vm.name());
        }

        @Override
        public int compareTo(Candidate other) {
            if (inPreferredRegion != other.inPreferredRegion) {
                return inPreferredRegion ? -1 : 1;
            }
            int byScore = Long.compareUnsigned(other.score, score);
            return byScore != 0 ? byScore : name.compareTo(other.name);
        }
    }
}
