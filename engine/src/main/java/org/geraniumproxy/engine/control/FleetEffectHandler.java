package org.geraniumproxy.engine.control;

import java.util.Map;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateShare;

/** Carries out what the control thread decides. Calls return without waiting. */
public interface FleetEffectHandler {
    /**
     * Publishes a view to the traffic thread.
     *
     * @param view the view
     * @param shares this VM's shares of the customers' rates
     */
    void publish(TrafficView view, Map<CustomerName, RateShare> shares);

    /**
     * Publishes changed shares under the view that is in force.
     *
     * @param shares this VM's shares of the customers' rates
     */
    void publishShares(Map<CustomerName, RateShare> shares);

    /**
     * Sends a message to other VMs.
     *
     * @param message the message
     * @param addresses their addresses
     */
    void sendToPeers(PeerMessage message, Map<VmName, String> addresses);

    /**
     * Asks another VM for its configuration, which arrives as an event.
     *
     * @param vm the VM
     * @param address its address
     */
    void fetchConfiguration(VmName vm, String address);
}
