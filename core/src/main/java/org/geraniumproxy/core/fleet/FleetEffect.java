package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.util.Map;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateOwnership;

/** Side effects that the control thread requests from its adapters. */
public sealed interface FleetEffect {
    /**
     * Publishes a new view to the traffic thread.
     *
     * @param view databases, configuration and size of the fleet
     * @param ownership owners of the customers' rates
     */
    record PublishView(TrafficView view, RateOwnership ownership) implements FleetEffect {}

    /**
     * Publishes the owners of the rates without a new view.
     *
     * @param ownership owners of the customers' rates
     */
    record PublishOwnership(RateOwnership ownership) implements FleetEffect {}

    /**
     * Sends a message to other VMs.
     *
     * @param message state of this VM, or a part of it
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
     * @param timeout time after which the request is given up
     */
    record FetchConfiguration(VmName vm, String address, long version, Duration timeout) implements FleetEffect {}

    /** Evaluates the promotions in progress, because a VM has confirmed that it enforces one, or is out of contact. */
    record EvaluatePromotions() implements FleetEffect {}

    /**
     * Logs a change of the known state.
     *
     * @param change text of the log line
     * @param detail key=value pairs
     */
    record Log(String change, String detail) implements FleetEffect {}
}
