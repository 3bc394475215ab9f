package org.geraniumproxy.measure.load;

import io.grpc.ManagedChannel;
import io.grpc.netty.shaded.io.grpc.netty.NettyChannelBuilder;
import java.util.List;
import java.util.function.Function;

/** Channels to the proxies among which sessions choose. Channels reconnect automatically. */
public final class ProxyChannels implements AutoCloseable {
    private final List<ManagedChannel> channels;

    private ProxyChannels(List<ManagedChannel> channels) {
        this.channels = List.copyOf(channels);
    }

    /**
     * Opens channels without TLS.
     *
     * @param addresses addresses of the proxies as {@code host:port}
     * @return the channels
     */
    public static ProxyChannels openPlainText(List<String> addresses) {
        return open(
                addresses,
                address -> NettyChannelBuilder.forTarget("dns:///" + address)
                        .usePlaintext()
                        .build());
    }

    /**
     * Opens one channel per address.
     *
     * @param addresses addresses in the format of the opener
     * @param opener opens the channel to an address
     * @return the channels
     */
    public static ProxyChannels open(List<String> addresses, Function<String, ManagedChannel> opener) {
        return new ProxyChannels(addresses.stream().map(opener).toList());
    }

    int count() {
        return channels.size();
    }

    ManagedChannel get(int index) {
        return channels.get(index);
    }

    /** Resets the reconnect backoff of a channel, so that a restarted proxy is reached immediately. */
    void resetConnectBackoff(int index) {
        channels.get(index).resetConnectBackoff();
    }

    @Override
    public void close() {
        channels.forEach(ManagedChannel::shutdownNow);
    }
}
