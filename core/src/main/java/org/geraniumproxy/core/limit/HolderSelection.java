package org.geraniumproxy.core.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.routing.RendezvousHash;

/** Selects the VMs that hold shares of a customer's rate. */
public final class HolderSelection {
    /**
     * Maximum number of holders per customer. Seven covers the failure domains of a deployment of the design size and
     * bounds the VMs that a VM without tokens has to ask.
     */
    public static final int MAXIMUM_HOLDERS = 7;

    private HolderSelection() {}

    /**
     * Returns the holders of a customer, covering as many failure domains as possible. VMs marked as leaving in the
     * roster hold no share.
     *
     * @param customer the customer
     * @param roster the roster
     * @param burst the customer's burst, an upper bound on the number of holders
     * @return the holders, in the same order on every VM
     */
    public static List<VmName> holders(CustomerName customer, Roster roster, int burst) {
        List<Vm> staying = roster.vms().stream().filter(vm -> !vm.leaving()).toList();
        List<Vm> ranked =
                RendezvousHash.rank(customer.value(), staying, vm -> vm.name().value());
        int count = Math.min(MAXIMUM_HOLDERS, Math.min(burst, ranked.size()));
        return spreadOverFailureDomains(ranked).stream()
                .limit(count)
                .map(Vm::name)
                .toList();
    }

    private static List<Vm> spreadOverFailureDomains(List<Vm> ranked) {
        Set<FailureDomain> covered = new HashSet<>();
        List<Vm> first = new ArrayList<>();
        List<Vm> others = new ArrayList<>();
        for (Vm vm : ranked) {
            (covered.add(vm.failureDomain()) ? first : others).add(vm);
        }
        first.addAll(others);
        return first;
    }
}
