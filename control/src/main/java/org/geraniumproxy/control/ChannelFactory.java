package org.geraniumproxy.control;

import io.grpc.ManagedChannel;

/** Opens channels to the store and to VMs. */
@FunctionalInterface
interface ChannelFactory {
    /**
     * Opens a channel, which the caller shuts down.
     *
     * @param address host and port
     * @return the channel
     */
    ManagedChannel open(String address);
}
