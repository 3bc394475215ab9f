package org.geraniumproxy.control;

import java.time.Clock;

/**
 * Links of one command to the store and the VMs.
 *
 * @param eventLoop owns the state of the command
 * @param store configuration and roster
 * @param nodes asks VMs
 * @param closeAction closes the links
 */
record CommandContext(EventLoop eventLoop, ConfigurationStore store, NodeStatusClient nodes, Runnable closeAction)
        implements AutoCloseable {
    /** Opens the links of a command. */
    @FunctionalInterface
    interface Factory {
        /**
         * Opens the links.
         *
         * @param options where and how to connect
         * @return the links, which the caller closes
         * @throws UsageException if the options can't be used
         */
        CommandContext open(ConnectionOptions options);
    }

    /**
     * Opens links over TCP.
     *
     * @param options where and how to connect
     * @return the links
     * @throws UsageException if the options can't be used
     */
    static CommandContext connectTcp(ConnectionOptions options) {
        TcpChannelFactory channelFactory = TcpChannelFactory.with(options.security());
        ThreadEventLoop eventLoop = ThreadEventLoop.start(Clock.systemUTC());
        GrpcKeyValueStore store =
                new GrpcKeyValueStore(channelFactory.open(options.store()), eventLoop, options.timeout());
        GrpcNodeStatusClient nodes = new GrpcNodeStatusClient(channelFactory, eventLoop, options.timeout());
        return new CommandContext(eventLoop, new ConfigurationStore(store), nodes, () -> {
            nodes.close();
            store.close();
            eventLoop.close();
        });
    }

    @Override
    public void close() {
        closeAction.run();
    }
}
