package org.geraniumproxy.proxy.testing;

import io.grpc.BindableService;
import io.grpc.ClientInterceptor;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.ServerInterceptor;
import io.grpc.ServerInterceptors;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.channel.EventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.MultiThreadIoEventLoopGroup;
import io.grpc.netty.shaded.io.netty.channel.local.LocalAddress;
import io.grpc.netty.shaded.io.netty.channel.local.LocalChannel;
import io.grpc.netty.shaded.io.netty.channel.local.LocalIoHandler;
import io.grpc.netty.shaded.io.netty.channel.local.LocalServerChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumproxy.proxy.transport.ChannelFactory;

/** gRPC inside one process: the whole library with HTTP/2, but without sockets. */
public final class LocalTransport implements ChannelFactory, AutoCloseable {
    private static final AtomicLong TRANSPORTS = new AtomicLong();

    private final String prefix = "transport-" + TRANSPORTS.incrementAndGet() + "-";
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final List<Server> servers = new ArrayList<>();

    public ExecutorService executor() {
        return executor;
    }

    public Server serve(String address, BindableService service, ServerInterceptor... interceptors) {
        try {
            Server server = NettyServerBuilder.forAddress(new LocalAddress(prefix + address))
                    .channelType(LocalServerChannel.class)
                    .bossEventLoopGroup(group)
                    .workerEventLoopGroup(group)
                    .executor(executor)
                    .addService(ServerInterceptors.intercept(service, interceptors))
                    .build()
                    .start();
            servers.add(server);
            return server;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public ChannelFactory intercepted(ClientInterceptor interceptor) {
        return address -> builder(address).intercept(interceptor).build();
    }

    @Override
    public ManagedChannel create(String address) {
        return builder(address).build();
    }

    private NettyChannelBuilder builder(String address) {
        return NettyChannelBuilder.forAddress(new LocalAddress(prefix + address))
                .channelType(LocalChannel.class)
                .eventLoopGroup(group)
                .usePlaintext()
                .overrideAuthority("localhost");
    }

    @Override
    public void close() {
        servers.forEach(Server::shutdownNow);
        var unused = group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        executor.shutdown();
    }
}
