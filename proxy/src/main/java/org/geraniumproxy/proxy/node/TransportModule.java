package org.geraniumproxy.proxy.node;

import dagger.Module;
import dagger.Provides;
import io.grpc.ManagedChannel;
import java.io.IOException;
import java.security.GeneralSecurityException;
import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Singleton;
import org.geraniumproxy.proxy.backend.BackendClient;
import org.geraniumproxy.proxy.backend.GrpcBackendClient;
import org.geraniumproxy.proxy.peer.GrpcPeerClient;
import org.geraniumproxy.proxy.platform.GrpcVmList;
import org.geraniumproxy.proxy.platform.VmList;
import org.geraniumproxy.proxy.store.GrpcPlatformStore;
import org.geraniumproxy.proxy.store.PlatformStore;
import org.geraniumproxy.proxy.transport.ChannelCache;
import org.geraniumproxy.proxy.transport.ChannelFactory;
import org.geraniumproxy.proxy.transport.NettyChannelFactory;
import org.geraniumproxy.proxy.transport.TlsFiles;
import org.geraniumproxy.proxy.transport.TlsMaterial;
import org.geraniumproxy.settings.HostAndPort;
import org.geraniumproxy.settings.NodeSettings;
import org.geraniumproxy.settings.TransportSecurity;

/** Links of a node: channels, clients and server builders, with TLS unless the settings allow plain text. */
@Module
final class TransportModule {
    /** Time between two looks at the certificate files. */
    private static final Duration TLS_RELOAD_INTERVAL = Duration.ofSeconds(30);

    private TransportModule() {}

    @Provides
    @Singleton
    static Optional<TlsMaterial> tlsMaterial(
            NodeSettings settings, @ControlExecutor ScheduledExecutorService scheduler) {
        return switch (settings.security()) {
            case TransportSecurity.PlainText plainText -> Optional.empty();
            case TransportSecurity.Tls tls -> Optional.of(load(tls, scheduler));
        };
    }

    private static TlsMaterial load(TransportSecurity.Tls tls, ScheduledExecutorService scheduler) {
        TlsFiles files = new TlsFiles(tls.certificate(), tls.key(), tls.trustedCertificates());
        try {
            return TlsMaterial.load(files, TLS_RELOAD_INTERVAL, scheduler);
        } catch (IOException | GeneralSecurityException e) {
            throw new NodeStartException("TLS files can't be used: " + e.getMessage(), e);
        }
    }

    @Provides
    @Singleton
    static ChannelFactory channelFactory(Optional<TlsMaterial> tls) {
        return tls.map(NettyChannelFactory::withTls).orElseGet(NettyChannelFactory::plainText);
    }

    @Provides
    @Singleton
    static ChannelCache channelCache(ChannelFactory factory, Clock clock) {
        return new ChannelCache(factory, clock);
    }

    @Provides
    @Singleton
    static GrpcPeerClient peerClient(
            NodeSettings settings, ChannelCache channels, @TrafficExecutor ExecutorService executor, Clock clock) {
        return new GrpcPeerClient(settings.name(), channels, executor, clock);
    }

    @Provides
    @Singleton
    static BackendClient backendClient(ChannelCache channels, @TrafficExecutor ExecutorService executor, Clock clock) {
        return new GrpcBackendClient(channels, executor, clock);
    }

    @Provides
    @Singleton
    static PlatformStore platformStore(
            NodeSettings settings, ChannelFactory factory, @TrafficExecutor ExecutorService executor) {
        ManagedChannel channel = factory.create(settings.storeAddress().toString());
        return new GrpcPlatformStore(channel, executor);
    }

    @Provides
    @Singleton
    static Optional<VmList> vmList(
            NodeSettings settings, ChannelCache channels, @TrafficExecutor ExecutorService executor) {
        return settings.vmListAddress()
                .map(HostAndPort::toString)
                .map(address -> new GrpcVmList(channels.channel(address), executor));
    }
}
