package org.geraniumproxy.control;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.geraniumproxy.settings.TransportSecurity;

/** Opens gRPC channels over TCP, with mutual TLS or in plain text. */
final class TcpChannelFactory implements ChannelFactory {
    private final Optional<SslContext> tls;

    private TcpChannelFactory(Optional<SslContext> tls) {
        this.tls = tls;
    }

    /**
     * Creates a factory.
     *
     * @param security transport security of the channels
     * @return the factory
     * @throws UsageException if a certificate or key file is missing or invalid
     */
    static TcpChannelFactory with(TransportSecurity security) {
        return switch (security) {
            case TransportSecurity.PlainText() -> new TcpChannelFactory(Optional.empty());
            case TransportSecurity.Tls files -> new TcpChannelFactory(Optional.of(context(files)));
        };
    }

    @Override
    public ManagedChannel open(String address) {
        NettyChannelBuilder builder = NettyChannelBuilder.forTarget("dns:///" + address);
        return tls.map(builder::sslContext).orElseGet(builder::usePlaintext).build();
    }

    private static SslContext context(TransportSecurity.Tls files) {
        try {
            return GrpcSslContexts.forClient()
                    .keyManager(files.certificate().toFile(), files.key().toFile())
                    .trustManager(files.trustedCertificates().toFile())
                    .build();
        } catch (SSLException | IllegalArgumentException e) {
            throw new UsageException("invalid TLS certificate or key file: " + e.getMessage(), e);
        }
    }
}
