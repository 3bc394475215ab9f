package org.geraniumproxy.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.VmName;

/**
 * The VMs that are members of the system, at one revision.
 *
 * @param revision number that grows with each change
 * @param vms members in order of their index
 * @param nextIndex first candidate for the index of the next VM that joins
 */
public record Roster(long revision, List<Vm> vms, int nextIndex) {
    /** The roster before the first VM has joined. */
    public static final Roster EMPTY = new Roster(0, List.of(), 0);

    /**
     * Sorts the VMs by index and validates them.
     *
     * @throws IllegalArgumentException if two VMs share an index or a name
     */
    public Roster {
        vms = vms.stream().sorted(Comparator.comparingInt(Vm::index)).toList();
        Set<Integer> indexes = new HashSet<>();
        Set<VmName> names = new HashSet<>();
        for (Vm vm : vms) {
            if (!indexes.add(vm.index()) || !names.add(vm.name())) {
                throw new IllegalArgumentException("two VMs of the roster share an index or a name: " + vm.name());
            }
        }
    }

    /**
     * Creates a roster whose next index follows the highest one in use.
     *
     * @param revision number that grows with each change
     * @param vms members in any order
     */
    public Roster(long revision, List<Vm> vms) {
        this(revision, vms, vms.stream().mapToInt(Vm::index).max().orElse(-1) + 1);
    }

    /**
     * Finds a VM by name.
     *
     * @param name name of the VM
     * @return VM, or empty if it is not a member
     */
    public Optional<Vm> find(VmName name) {
        return vms.stream().filter(vm -> vm.name().equals(name)).findFirst();
    }

    /**
     * Adds a VM, or replaces the earlier incarnation of the same name. Every incarnation gets a new index: terms
     * contain the index of the VM that promotes, and a paused earlier process must not share terms with its successor.
     *
     * @param name name of the VM
     * @param address host and port of its peer service
     * @param region region of the VM
     * @param failureDomain failure domain of the VM
     * @param incarnation number of the VM's process
     * @return roster at the next revision
     */
    public Roster join(VmName name, String address, RegionName region, FailureDomain failureDomain, long incarnation) {
        Roster others = without(name);
        int index = others.firstFreeIndex();
        List<Vm> joined = new ArrayList<>(others.vms());
        joined.add(new Vm(index, name, address, region, failureDomain, incarnation, false));
        return new Roster(revision + 1, joined, (index + 1) % Term.VM_INDEX_COUNT);
    }

    /**
     * Removes a VM.
     *
     * @param name name of the VM; an unknown one removes nothing
     * @return roster at the next revision
     */
    public Roster without(VmName name) {
        List<Vm> remaining = vms.stream().filter(vm -> !vm.name().equals(name)).toList();
        return new Roster(revision + 1, remaining, nextIndex);
    }

    private int firstFreeIndex() {
        Set<Integer> used = new HashSet<>();
        vms.forEach(vm -> used.add(vm.index()));
        int index = nextIndex % Term.VM_INDEX_COUNT;
        while (used.contains(index)) {
            index = (index + 1) % Term.VM_INDEX_COUNT;
        }
        return index;
    }
}
