package org.geraniumproxy.core.limit;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;

/**
 * A VM's view of a customer's limit.
 *
 * @param self this VM
 * @param ratePerSecond the customer's rate, zero if it is not configured
 * @param burst the customer's burst, zero if it is not configured
 * @param holders the VMs that hold shares of the customer's rate, in the same order on every VM
 * @param reachable the other holders that are neither down nor leaving; requests for tokens go to these
 * @param provenAt start of the latest exchange that confirmed the view as current, empty if there was none
 */
public record LimitView(
        VmName self,
        double ratePerSecond,
        int burst,
        List<VmName> holders,
        List<VmName> reachable,
        Optional<Instant> provenAt) {
    /** Makes the lists immutable. */
    public LimitView {
        holders = List.copyOf(holders);
        reachable = List.copyOf(reachable);
    }

    /**
     * Extracts the view of a customer from a snapshot.
     *
     * @param snapshot the snapshot
     * @param name the customer
     * @param holders the customer's holders by {@link HolderSelection}, which the caller may cache per roster
     * @return the view
     */
    public static LimitView of(ControlSnapshot snapshot, CustomerName name, List<VmName> holders) {
        Customer customer = snapshot.currentConfiguration().customers().get(name);
        if (customer == null) {
            return new LimitView(snapshot.self(), 0, 0, List.of(), List.of(), snapshot.viewProvenAt());
        }
        List<VmName> reachable = holders.stream()
                .filter(vm -> !vm.equals(snapshot.self()))
                .filter(vm -> !snapshot.unavailableVms().contains(vm))
                .toList();
        return new LimitView(
                snapshot.self(),
                customer.ratePerSecond(),
                customer.burst(),
                holders,
                reachable,
                snapshot.viewProvenAt());
    }
}
