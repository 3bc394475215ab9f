package org.geraniumproxy.proxy.transport;

import io.grpc.Channel;
import io.grpc.ManagedChannel;
import io.grpc.Status;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;

/** Caches one channel per address. */
public final class ChannelCache implements AutoCloseable {
    /**
     * Minimum time between two forced reconnects. The backoff of gRPC grows to two minutes, which is far longer than a
     * failover may take.
     */
    private static final Duration RECONNECT_INTERVAL = Duration.ofMillis(100);

    private final ChannelFactory factory;
    private final Clock clock;
    private final Map<String, Entry> entries = new ConcurrentHashMap<>();

    /**
     * Creates an empty cache.
     *
     * @param factory creates the channels
     * @param clock measures the time between forced reconnects
     */
    public ChannelCache(ChannelFactory factory, Clock clock) {
        this.factory = factory;
        this.clock = clock;
    }

    /**
     * Returns the channel to an address and creates it on first use.
     *
     * @param address host and port
     * @return the channel, shared by all callers
     */
    public Channel channel(String address) {
        return entries.computeIfAbsent(
                        address, key -> new Entry(factory.create(key), new AtomicReference<>(Instant.MIN)))
                .channel();
    }

    /**
     * Records a failed call. If the address was unavailable, the next attempt to connect starts without backoff.
     *
     * @param address host and port
     * @param failure why the call failed
     */
    public void recordFailure(String address, Throwable failure) {
        Entry entry = entries.get(address);
        if (entry == null || Status.fromThrowable(failure).getCode() != Status.Code.UNAVAILABLE) {
            return;
        }
        Instant now = clock.instant();
        Instant last = entry.lastReconnect().get();
        boolean due = last.equals(Instant.MIN) || !now.isBefore(last.plus(RECONNECT_INTERVAL));
        if (due && entry.lastReconnect().compareAndSet(last, now)) {
            entry.channel().resetConnectBackoff();
        }
    }

    /** Closes every channel; calls that are still running fail. */
    @Override
    public void close() {
        entries.values().forEach(entry -> entry.channel().shutdownNow());
        entries.clear();
    }

    private record Entry(ManagedChannel channel, AtomicReference<Instant> lastReconnect) {}
}
