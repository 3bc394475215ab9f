package org.geraniumproxy.standin.database;

import io.grpc.ManagedChannel;

/** Opens channels from a replica to its primary. */
@FunctionalInterface
public interface ChannelFactory {
    /**
     * Opens a channel. The replica shuts it down.
     *
     * @param address address of the primary, as given in the follow request
     * @return the channel
     */
    ManagedChannel openChannel(String address);
}
