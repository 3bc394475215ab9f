package org.geraniumproxy.core.limit;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;

/** Chooses the VMs that hold a customer's shares. */
public final class HolderSelection {
    /**
     * Most holders of one customer. Seven covers the failure domains of the design size, and a proxy that runs out of
     * tokens has at most seven VMs to ask.
     */
    public static final int MAXIMUM_HOLDERS = 7;

    private HolderSelection() {}

    /**
     * Returns the holders of a customer, one per failure domain first. VMs that announced in the roster that they are
     * leaving hold no share.
     *
     * @param customer the customer
     * @param roster the roster
     * @param burst the customer's burst; there are no more holders than tokens in it
     * @return the holders in order
     */
    public static List<VmName> holders(CustomerName customer, Roster roster, int burst) {
        List<Vm> ranked = roster.vms().stream()
                .filter(vm -> !vm.leaving())
                .sorted(Comparator.<Vm>comparingLong(vm -> weight(customer, vm.name()))
                        .reversed()
                        .thenComparing(Vm::name))
                .toList();
        int count = Math.min(MAXIMUM_HOLDERS, Math.min(burst, ranked.size()));
        return spread(ranked).stream().limit(count).map(Vm::name).toList();
    }

    private static List<Vm> spread(List<Vm> ranked) {
        Set<FailureDomain> covered = new HashSet<>();
        List<Vm> first = new ArrayList<>();
        List<Vm> others = new ArrayList<>();
        for (Vm vm : ranked) {
            (covered.add(vm.failureDomain()) ? first : others).add(vm);
        }
        first.addAll(others);
        return first;
    }

    private static long weight(CustomerName customer, VmName vm) {
        long hash = 0xcbf29ce484222325L;
        for (byte octet : (customer.value() + "/" + vm.value()).getBytes(StandardCharsets.UTF_8)) {
            hash = (hash ^ octet) * 0x100000001b3L;
        }
        hash = (hash ^ (hash >>> 32)) * 0xd6e8feb86659fd93L;
        return hash ^ (hash >>> 32);
    }
}
