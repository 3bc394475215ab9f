package org.geraniumproxy.engine.control;

import java.time.Duration;
import java.util.Map;
import org.geraniumproxy.core.caller.TrafficView;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.RateOwnership;

/** Executes the effects of decisions of the control thread. The methods must not block. */
public interface FleetEffectHandler {
    /**
     * Publishes a new view and new owners of the rates to the traffic thread.
     *
     * @param view replaces the previous view
     * @param ownership owners of the customers' rates
     */
    void publish(TrafficView view, RateOwnership ownership);

    /**
     * Publishes new owners of the rates to the traffic thread, which keeps its current view.
     *
     * @param ownership owners of the customers' rates
     */
    void publishOwnership(RateOwnership ownership);

    /**
     * Sends a message to other VMs.
     *
     * @param message message to send
     * @param addresses host and port of each receiver
     */
    void sendToPeers(PeerMessage message, Map<VmName, String> addresses);

    /**
     * Requests the configuration of another VM. A configuration that it brings arrives as an event, and after it the
     * end of the request.
     *
     * @param vm VM with a newer configuration
     * @param address host and port of the VM
     * @param timeout longest time until the request has ended
     */
    void fetchConfiguration(VmName vm, String address, Duration timeout);

    /** Evaluates the promotions in progress with the newest state of the fleet. */
    void evaluatePromotions();
}
