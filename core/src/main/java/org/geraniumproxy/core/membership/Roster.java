package org.geraniumproxy.core.membership;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.VmName;

/**
 * The VMs that make up the system, at one revision.
 *
 * @param revision number that grows with each change
 * @param vms the VMs in order of their index
 */
public record Roster(long revision, List<Vm> vms) {
    /** The roster before the first VM has joined. */
    public static final Roster EMPTY = new Roster(0, List.of());

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
     * Finds a VM by name.
     *
     * @param name the name
     * @return the VM, or empty if it is not in the roster
     */
    public Optional<Vm> find(VmName name) {
        return vms.stream().filter(vm -> vm.name().equals(name)).findFirst();
    }
}
