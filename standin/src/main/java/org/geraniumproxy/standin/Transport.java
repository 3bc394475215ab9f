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

/** Creates the gRPC servers of stand-ins and the channels to them. */
public sealed interface Transport {
    /** Maximum size of a received message; a replica that starts empty receives the whole log in one message. */
    int MAXIMUM_MESSAGE_BYTES = 256 << 20;

    /** Unencrypted TCP; addresses have the form {@code host:port}. */
    record Tcp() implements Transport {}

    /** gRPC's in-process transport; calls run on the caller's thread, and any string is an address. */
    record InProcess() implements Transport {}

    /**
     * Starts a server.
     *
     * @param address listen address
     * @param services services of the server
     * @return the running server
     * @throws UncheckedIOException if the address can't be bound
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
            throw new UncheckedIOException("can't bind " + address, e);
        }
    }

    /**
     * Opens a channel. The caller must shut it down.
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
