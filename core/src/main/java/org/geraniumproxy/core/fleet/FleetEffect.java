package org.geraniumproxy.core.fleet;

import java.util.Map;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateShare;

/** Side effects that the control thread requests from its adapters. */
public sealed interface FleetEffect {
    /**
     * Publishes a new view to the traffic thread.
     *
     * @param view databases, configuration and size of the fleet
     * @param shares this VM's share of each customer's rate limit
     */
    record PublishView(TrafficView view, Map<CustomerName, RateShare> shares) implements FleetEffect {
        /** Copies the map. */
        public PublishView {
            shares = Map.copyOf(shares);
        }
    }

    /**
     * Updates the shares of the rate limits without a new view.
     *
     * @param shares this VM's share of each customer's rate limit
     */
    record PublishShares(Map<CustomerName, RateShare> shares) implements FleetEffect {
        /** Copies the map. */
        public PublishShares {
            shares = Map.copyOf(shares);
        }
    }

    /**
     * Sends a message to all other VMs.
     *
     * @param message state of this VM
     * @param addresses host and port of each recipient
     */
    record SendToPeers(PeerMessage message, Map<VmName, String> addresses) implements FleetEffect {
        /** Copies the map. */
        public SendToPeers {
            addresses = Map.copyOf(addresses);
        }
    }

    /**
     * Fetches a newer configuration from another VM.
     *
     * @param vm the VM that has it
     * @param address host and port of the VM
     * @param version configuration version of that VM
     */
    record FetchConfiguration(VmName vm, String address, long version) implements FleetEffect {}

    /**
     * Logs a change of the known state.
     *
     * @param change text of the log line
     * @param detail key=value pairs
     */
    record Log(String change, String detail) implements FleetEffect {}
}
