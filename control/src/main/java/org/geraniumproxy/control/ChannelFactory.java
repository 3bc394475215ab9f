package org.geraniumproxy.control;

import io.grpc.ManagedChannel;

/** Opens gRPC channels to the store and to VMs. */
@FunctionalInterface
interface ChannelFactory {
    /**
     * Opens a channel.
     *
     * @param address host and port
     * @return the channel, which the caller must shut down
     */
    ManagedChannel open(String address);
}
