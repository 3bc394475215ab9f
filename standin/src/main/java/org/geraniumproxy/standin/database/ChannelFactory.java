package org.geraniumproxy.standin.database;

import io.grpc.ManagedChannel;

/** Opens the channels on which replicas call their primary. */
@FunctionalInterface
public interface ChannelFactory {
    /**
     * Opens a channel.
     *
     * @param address address of the primary, as the follow request names it
     * @return the channel
     */
    ManagedChannel openChannel(String address);
}
