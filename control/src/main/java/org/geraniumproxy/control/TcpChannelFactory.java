package org.geraniumproxy.control;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.GrpcSslContexts;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.geraniumproxy.settings.TransportSecurity;

/** Opens TCP channels, with TLS unless plain text was asked for. */
final class TcpChannelFactory implements ChannelFactory {
    private final Optional<SslContext> tls;

    private TcpChannelFactory(Optional<SslContext> tls) {
        this.tls = tls;
    }

    /**
     * Returns a connector.
     *
     * @param security the protection of its channels
     * @return the connector
     * @throws UsageException if a TLS file can't be used
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
            throw new UsageException("a TLS file can't be used: " + e.getMessage(), e);
        }
    }
}
