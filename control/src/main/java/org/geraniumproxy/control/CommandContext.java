package org.geraniumproxy.control;

import java.time.Clock;

/**
 * Event loop and clients of one command.
 *
 * @param eventLoop owns the state of the command
 * @param store client for configuration and roster
 * @param nodes client for the status of VMs
 * @param closeAction closes the connections and stops the event loop
 */
record CommandContext(EventLoop eventLoop, ConfigurationStore store, NodeStatusClient nodes, Runnable closeAction)
        implements AutoCloseable {
    /** Opens the context of a command. */
    @FunctionalInterface
    interface Factory {
        /**
         * Opens a context.
         *
         * @param options addresses, transport security and timeout
         * @return the context, which the caller must close
         * @throws UsageException if the options are invalid
         */
        CommandContext open(ConnectionOptions options);
    }

    /**
     * Opens a context that connects over TCP.
     *
     * @param options addresses, transport security and timeout
     * @return the context, which the caller must close
     * @throws UsageException if the options are invalid
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
