package org.geraniumproxy.proxy.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.HolderSelection;
import org.geraniumproxy.core.limit.LimitView;

/**
 * Caches the token holders of each customer until the revision of the roster or the configuration changes. Confined to
 * the executor of the rate limiter.
 */
final class HolderCache {
    private final Map<CustomerName, List<VmName>> holders = new HashMap<>();
    private long rosterRevision = -1;
    private long configurationRevision = -1;

    LimitView view(ControlSnapshot snapshot, CustomerName name) {
        if (snapshot.roster().revision() != rosterRevision
                || snapshot.configuration().revision() != configurationRevision) {
            holders.clear();
            rosterRevision = snapshot.roster().revision();
            configurationRevision = snapshot.configuration().revision();
        }
        Customer customer = snapshot.currentConfiguration().customers().get(name);
        List<VmName> known = customer == null
                ? List.of()
                : holders.computeIfAbsent(
                        name, _ -> HolderSelection.holders(name, snapshot.roster(), customer.burst()));
        return LimitView.of(snapshot, name, known);
    }
}
