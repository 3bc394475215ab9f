package org.geraniumproxy.proxy.transport;

import io.grpc.ManagedChannel;

/** Creates gRPC channels to other processes. */
@FunctionalInterface
public interface ChannelFactory {
    /**
     * Creates a channel. It connects on first use.
     *
     * @param address host and port
     * @return the channel, which the caller must shut down
     */
    ManagedChannel create(String address);
}
