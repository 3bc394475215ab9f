package org.geraniumproxy.proxy.transport;

import io.grpc.ManagedChannel;

/** Creates the channels over which a proxy reaches other processes. */
@FunctionalInterface
public interface ChannelFactory {
    /**
     * Creates a channel. It connects when it is first used.
     *
     * @param address host and port
     * @return the channel
     */
    ManagedChannel create(String address);
}
