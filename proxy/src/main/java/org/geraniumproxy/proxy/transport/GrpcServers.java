package org.geraniumproxy.proxy.transport;

import io.grpc.BindableService;
import io.grpc.Server;
import io.grpc.ServerInterceptor;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import io.grpc.netty.shaded.io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;

/** Starts the gRPC servers of a proxy. */
public final class GrpcServers {
    private GrpcServers() {}

    /**
     * Starts a server.
     *
     * @param address address to listen on; port 0 selects a free port
     * @param sslContext the TLS context, or empty for plain text
     * @param executor runs the handlers of calls
     * @param interceptors applied to every call in this order
     * @param services services that the server provides
     * @return the running server
     * @throws IOException if the server can't listen on the address
     */
    public static Server start(
            InetSocketAddress address,
            Optional<SslContext> sslContext,
            Executor executor,
            List<ServerInterceptor> interceptors,
            List<? extends BindableService> services)
            throws IOException {
        NettyServerBuilder builder = NettyServerBuilder.forAddress(address).executor(executor);
        sslContext.ifPresent(builder::sslContext);
        // gRPC runs the interceptor that was added last first.
        interceptors.reversed().forEach(builder::intercept);
        services.forEach(builder::addService);
        return builder.build().start();
    }
}
