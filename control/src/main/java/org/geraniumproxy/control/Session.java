package org.geraniumproxy.control;

import java.time.Clock;

/**
 * Links of one command to the store and the VMs.
 *
 * @param eventLoop owns the state of the command
 * @param store configuration and roster
 * @param nodes asks VMs
 * @param closer closes the links
 */
record Session(EventLoop eventLoop, ConfigurationStore store, NodeStatusClient nodes, Runnable closer)
        implements AutoCloseable {
    /** Opens the links of a command. */
    @FunctionalInterface
    interface Opener {
        /**
         * Opens the links.
         *
         * @param options where and how to connect
         * @return the links, which the caller closes
         * @throws UsageException if the options can't be used
         */
        Session open(LinkOptions options);
    }

    /**
     * Opens links over TCP.
     *
     * @param options where and how to connect
     * @return the links
     * @throws UsageException if the options can't be used
     */
    static Session openTcp(LinkOptions options) {
        TcpConnector connector = TcpConnector.with(options.security());
        ThreadEventLoop eventLoop = ThreadEventLoop.start(Clock.systemUTC());
        GrpcControlStore store = new GrpcControlStore(connector.open(options.store()), eventLoop, options.timeout());
        GrpcNodeStatusClient nodes = new GrpcNodeStatusClient(connector, eventLoop, options.timeout());
        return new Session(eventLoop, new ConfigurationStore(store), nodes, () -> {
            nodes.close();
            store.close();
            eventLoop.close();
        });
    }

    @Override
    public void close() {
        closer.run();
    }
}
