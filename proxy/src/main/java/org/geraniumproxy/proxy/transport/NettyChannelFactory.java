package org.geraniumproxy.proxy.transport;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.channel.ChannelOption;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Creates channels over TCP, in plain text or with TLS. */
public final class NettyChannelFactory implements ChannelFactory {
    /** Time after which an unused channel gives up its connection, so that links to VMs that have gone are closed. */
    private static final long IDLE_TIMEOUT_SECONDS = 60;

    /**
     * Longest time to connect. The library's 20 s would hold requests back from the standby while a VM or its region
     * can't be reached; the longest round trip between regions is 24 ms.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Largest message: the answer of a forwarded request travels in one. */
    private static final int MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

    private final Optional<SslContext> sslContext;

    private NettyChannelFactory(Optional<SslContext> sslContext) {
        this.sslContext = sslContext;
    }

    /**
     * Returns a factory of channels without encryption, for deployments whose settings allow plain text.
     *
     * @return the factory
     */
    public static NettyChannelFactory plainText() {
        return new NettyChannelFactory(Optional.empty());
    }

    /**
     * Returns a factory of channels with TLS.
     *
     * @param material certificates and keys
     * @return the factory
     */
    public static NettyChannelFactory withTls(TlsMaterial material) {
        return new NettyChannelFactory(Optional.of(material.clientContext()));
    }

    @Override
    public ManagedChannel create(String address) {
        NettyChannelBuilder builder = NettyChannelBuilder.forTarget(address)
                .disableServiceConfigLookUp()
                .withOption(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                .idleTimeout(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return sslContext
                .map(context -> builder.sslContext(context).build())
                .orElseGet(() -> builder.usePlaintext().build());
    }
}
