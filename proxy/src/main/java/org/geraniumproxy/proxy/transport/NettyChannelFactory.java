package org.geraniumproxy.proxy.transport;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.channel.ChannelOption;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Creates channels over TCP, in plain text or with TLS. */
public final class NettyChannelFactory implements ChannelFactory {
    /** Time after which an unused channel closes its connection, so that none stays open to VMs that were removed. */
    private static final long IDLE_TIMEOUT_SECONDS = 60;

    /**
     * Timeout for connecting. With the default of gRPC, 20 s, requests would reach the standby too late while a VM or
     * its region can't be reached; the maximum round trip between regions is 24 ms.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Maximum message size; the whole answer to a forwarded request is sent in one message. */
    private static final int MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024;

    private final Optional<SslContext> sslContext;

    private NettyChannelFactory(Optional<SslContext> sslContext) {
        this.sslContext = sslContext;
    }

    /**
     * Returns a factory of channels without encryption, for deployments whose settings allow plain text.
     *
     * @return a factory of plain-text channels
     */
    public static NettyChannelFactory plainText() {
        return new NettyChannelFactory(Optional.empty());
    }

    /**
     * Returns a factory of channels with TLS, which present the certificate of this process.
     *
     * @param material identity of this process and trusted certificates
     * @return a factory of TLS channels
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
