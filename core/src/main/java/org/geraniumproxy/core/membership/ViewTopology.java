package org.geraniumproxy.core.membership;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.routing.RendezvousHash;

/**
 * Selects the VMs that watch the store, the voters, and the peers that a VM asks. Every VM computes the same result
 * from the same roster.
 */
public final class ViewTopology {
    /** Maximum number of voters: one for each failure domain of the design size. */
    public static final int MAXIMUM_VOTERS = 7;

    /** Number of VMs of a region that watch the store, so that a region keeps its view when one of them fails. */
    public static final int WATCHERS_PER_REGION = 2;

    /** Number of VMs that ask one upstream VM. With 80, three levels suffice for the 6,400 VMs of the design size. */
    public static final int FAN_OUT = 80;

    /** Number of upstream VMs that a VM asks, so that its view stays current when one of them fails. */
    public static final int UPSTREAMS = 2;

    /** Largest roster in which every VM asks every other one. */
    public static final int FULL_EXCHANGE_LIMIT = 16;

    private static final ViewTopology EMPTY = new ViewTopology(Roster.EMPTY);

    private final Roster roster;
    private final Map<VmName, Vm> byName;
    private final List<VmName> voters;
    private final Map<RegionName, List<Vm>> watcherOrder;
    private final List<VmName> treeOrder;

    private ViewTopology(Roster roster) {
        this.roster = roster;
        this.byName = roster.vms().stream().collect(Collectors.toUnmodifiableMap(Vm::name, vm -> vm));
        this.voters = chooseVoters(roster);
        this.watcherOrder = ordered("watcher", roster.vms()).stream()
                .collect(Collectors.groupingBy(Vm::region, LinkedHashMap::new, Collectors.toUnmodifiableList()));
        this.treeOrder = ordered("tree", roster.vms()).stream().map(Vm::name).toList();
    }

    /**
     * Computes the topology of a roster. Callers should compute it once for each roster, because ordering 6,400 VMs
     * takes milliseconds.
     *
     * @param roster members of the system
     * @return topology of the roster
     */
    public static ViewTopology of(Roster roster) {
        return roster.vms().isEmpty() ? EMPTY : new ViewTopology(roster);
    }

    /**
     * Returns the VMs whose majority can prove a view current. One VM of each failure domain is chosen first.
     *
     * @return at most {@link #MAXIMUM_VOTERS} names in a stable order
     */
    public List<VmName> voters() {
        return voters;
    }

    /**
     * Returns the number of voters that form a majority.
     *
     * @return more than half of the voters
     */
    public int voterMajority() {
        return voters.size() / 2 + 1;
    }

    /**
     * Returns the VMs that watch the store: the voters, and two VMs of each region.
     *
     * @param unavailable VMs that are down or shutting down; others of their region replace them
     * @return VM names, voters first
     */
    public Set<VmName> watchers(Set<VmName> unavailable) {
        Set<VmName> watchers = new LinkedHashSet<>(voters);
        watcherOrder
                .values()
                .forEach(region -> region.stream()
                        .map(Vm::name)
                        .filter(vm -> !unavailable.contains(vm))
                        .limit(WATCHERS_PER_REGION)
                        .forEach(watchers::add));
        return watchers;
    }

    /**
     * Returns the peers that a VM exchanges views with. In a small roster these are all others. In a large one they are
     * two VMs of the next higher level of a tree with the watchers at the top, and for voters also the other voters.
     *
     * @param self name of the VM
     * @param unavailable VMs that are down or shutting down
     * @return peers without the VM itself
     */
    public List<Vm> peersOf(VmName self, Set<VmName> unavailable) {
        if (isFullExchange()) {
            return roster.vms().stream().filter(vm -> !vm.name().equals(self)).toList();
        }
        Set<VmName> peers = new LinkedHashSet<>();
        if (voters.contains(self)) {
            peers.addAll(voters);
        }
        List<Vm> above = levelAbove(self, unavailable).stream().map(byName::get).toList();
        ordered(self.value(), above).stream().limit(UPSTREAMS).map(Vm::name).forEach(peers::add);
        peers.remove(self);
        return peers.stream().map(byName::get).toList();
    }

    boolean isFullExchange() {
        return roster.vms().size() <= FULL_EXCHANGE_LIMIT;
    }

    boolean contains(VmName vm) {
        return byName.containsKey(vm);
    }

    private List<VmName> levelAbove(VmName self, Set<VmName> unavailable) {
        List<VmName> above = List.of();
        Set<VmName> watchers = watchers(unavailable);
        List<VmName> level = List.copyOf(watchers);
        List<VmName> rest =
                treeOrder.stream().filter(vm -> !watchers.contains(vm)).toList();
        while (!level.contains(self) && !rest.isEmpty()) {
            above = level.stream().filter(vm -> !unavailable.contains(vm)).toList();
            int size = Math.min(rest.size(), Math.max(1, level.size()) * FAN_OUT);
            level = rest.subList(0, size);
            rest = rest.subList(size, rest.size());
        }
        return level.contains(self) ? above : List.of();
    }

    private static List<VmName> chooseVoters(Roster roster) {
        List<Vm> ordered = ordered("voter", roster.vms());
        Set<VmName> chosen = new LinkedHashSet<>();
        Set<FailureDomain> covered = new HashSet<>();
        for (Vm vm : ordered) {
            if (chosen.size() < MAXIMUM_VOTERS && covered.add(vm.failureDomain())) {
                chosen.add(vm.name());
            }
        }
        for (Vm vm : ordered) {
            if (chosen.size() < MAXIMUM_VOTERS) {
                chosen.add(vm.name());
            }
        }
        return List.copyOf(chosen);
    }

    private static List<Vm> ordered(String purpose, List<Vm> vms) {
        return RendezvousHash.rank(purpose, vms, vm -> vm.name().value());
    }
}
