package org.geraniumproxy.proxy.node;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.geraniumproxy.proxy.caller.CallerEndpoint;
import org.geraniumproxy.proxy.peer.PeerEndpoint;
import org.geraniumproxy.proxy.telemetry.Tracing;
import org.geraniumproxy.proxy.transport.GrpcServers;
import org.geraniumproxy.proxy.transport.TlsMaterial;
import org.geraniumproxy.settings.HostAndPort;
import org.geraniumproxy.settings.NodeSettings;

/** The servers of a node: one for callers, one for other VMs and the operators' tool. */
@Singleton
final class NodeServers {
    /** Time that calls get to end after a server has stopped to accept new ones. */
    private static final Duration TERMINATION_TIME = Duration.ofSeconds(1);

    private final NodeSettings settings;
    private final Optional<TlsMaterial> tls;
    private final Tracing tracing;
    private final ExecutorService executor;
    private final CallerEndpoint callerEndpoint;
    private final PeerEndpoint peerEndpoint;
    private final List<Server> running = new ArrayList<>();

    @Inject
    NodeServers(
            NodeSettings settings,
            Optional<TlsMaterial> tls,
            Tracing tracing,
            @TrafficExecutor ExecutorService executor,
            CallerEndpoint callerEndpoint,
            PeerEndpoint peerEndpoint) {
        this.settings = settings;
        this.tls = tls;
        this.tracing = tracing;
        this.executor = executor;
        this.callerEndpoint = callerEndpoint;
        this.peerEndpoint = peerEndpoint;
    }

    /**
     * Starts both servers.
     *
     * @throws IOException if an address can't be used
     */
    void start() throws IOException {
        start(settings.peerAddress(), tls.map(TlsMaterial::peerServerContext), peerEndpoint);
        start(settings.callerAddress(), tls.map(TlsMaterial::callerServerContext), callerEndpoint);
    }

    /** Accepts no further call and ends those that do not end by themselves. */
    void stop() {
        running.forEach(Server::shutdown);
        running.forEach(NodeServers::awaitTermination);
    }

    private void start(HostAndPort address, Optional<SslContext> context, BindableService service) throws IOException {
        InetSocketAddress socketAddress = new InetSocketAddress(address.host(), address.port());
        running.add(GrpcServers.start(
                socketAddress, context, executor, List.of(tracing.serverInterceptor()), List.of(service)));
    }

    private static void awaitTermination(Server server) {
        try {
            if (!server.awaitTermination(TERMINATION_TIME.toMillis(), TimeUnit.MILLISECONDS)) {
                server.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            server.shutdownNow();
        }
    }
}
