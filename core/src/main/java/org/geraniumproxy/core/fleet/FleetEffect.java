package org.geraniumproxy.core.fleet;

import java.util.Map;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateShare;

/** What an adapter carries out for the control thread. */
public sealed interface FleetEffect {
    /**
     * Publish a view to the traffic thread.
     *
     * @param view the view
     * @param shares this VM's shares of the customers' rates
     */
    record PublishView(TrafficView view, Map<CustomerName, RateShare> shares) implements FleetEffect {
        /** Copies the map. */
        public PublishView {
            shares = Map.copyOf(shares);
        }
    }

    /**
     * Put this VM's shares of the customers' rates in force; nothing else changed.
     *
     * @param shares the shares
     */
    record PublishShares(Map<CustomerName, RateShare> shares) implements FleetEffect {
        /** Copies the map. */
        public PublishShares {
            shares = Map.copyOf(shares);
        }
    }

    /**
     * Send a message to the other VMs.
     *
     * @param message the message
     * @param addresses their addresses
     */
    record SendToPeers(PeerMessage message, Map<VmName, String> addresses) implements FleetEffect {
        /** Copies the map. */
        public SendToPeers {
            addresses = Map.copyOf(addresses);
        }
    }

    /**
     * Ask another VM for its newer configuration.
     *
     * @param vm the VM
     * @param address its address
     * @param version the version that it has
     */
    record FetchConfiguration(VmName vm, String address, long version) implements FleetEffect {}

    /**
     * Write a change of belief to the log.
     *
     * @param change what changed
     * @param detail its inputs
     */
    record Log(String change, String detail) implements FleetEffect {}
}
