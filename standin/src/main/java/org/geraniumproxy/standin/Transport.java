package org.geraniumproxy.standin;

import io.grpc.BindableService;
import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.ServerBuilder;
import io.grpc.inprocess.InProcessChannelBuilder;
import io.grpc.inprocess.InProcessServerBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.util.List;

/** How stand-ins are reached. */
public sealed interface Transport {
    /** Longest message: a replica that starts empty receives the whole log in one message. */
    int MAXIMUM_MESSAGE_BYTES = 256 << 20;

    /** TCP without TLS; addresses are {@code host:port}. */
    record Tcp() implements Transport {}

    /** Calls within one process, on the thread of the caller; addresses are any names. */
    record InProcess() implements Transport {}

    /**
     * Starts a server.
     *
     * @param address where it listens
     * @param services what it offers
     * @return the running server
     * @throws UncheckedIOException if it can't listen there
     */
    default Server startServer(String address, List<BindableService> services) {
        ServerBuilder<?> builder = switch (this) {
            case Tcp tcp -> NettyServerBuilder.forAddress(socketAddress(address));
            case InProcess inProcess -> InProcessServerBuilder.forName(address).directExecutor();
        };
        services.forEach(builder::addService);
        try {
            return builder.build().start();
        } catch (IOException e) {
            throw new UncheckedIOException("can't listen at " + address, e);
        }
    }

    /**
     * Opens a channel.
     *
     * @param address address of the server
     * @return the channel
     */
    default ManagedChannel openChannel(String address) {
        return switch (this) {
            case Tcp tcp ->
                NettyChannelBuilder.forTarget("dns:///" + address)
                        .usePlaintext()
                        .maxInboundMessageSize(MAXIMUM_MESSAGE_BYTES)
                        .build();
            case InProcess inProcess ->
                InProcessChannelBuilder.forName(address).directExecutor().build();
        };
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("address must be host:port, but is: " + address);
        }
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
