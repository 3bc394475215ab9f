package org.geraniumproxy.proxy.control;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.geraniumproxy.proxy.store.PlatformStore;

/** A store that performs the first swap only when a test says so. */
final class HeldSwapStore implements PlatformStore {
    private final MemoryStore store;
    private final boolean replyLost;
    private final AtomicBoolean first = new AtomicBoolean(true);
    private final CompletableFuture<Void> received = new CompletableFuture<>();
    private final CompletableFuture<Void> released = new CompletableFuture<>();

    /**
     * Creates a store.
     *
     * @param store holds the values
     * @param replyLost whether the first swap fails for the client at once, although it is performed later
     */
    HeldSwapStore(MemoryStore store, boolean replyLost) {
        this.store = store;
        this.replyLost = replyLost;
    }

    /** Completes when the first swap has been received. */
    CompletableFuture<Void> swapReceived() {
        return received;
    }

    /** Performs the first swap. */
    void release() {
        released.complete(null);
    }

    @Override
    public CompletableFuture<StoredValue> get(String key) {
        return store.get(key);
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, long expectedRevision, ByteString value) {
        if (!first.getAndSet(false)) {
            return store.compareAndSwap(key, expectedRevision, value);
        }
        CompletableFuture<SwapResult> result =
                released.thenCompose(_ -> store.compareAndSwap(key, expectedRevision, value));
        received.complete(null);
        return replyLost ? CompletableFuture.failedFuture(new IllegalStateException("reply lost")) : result;
    }

    @Override
    public CompletableFuture<StoredValue> watch(String key, long knownRevision, Duration wait) {
        return store.watch(key, knownRevision, wait);
    }

    @Override
    public void close() {
        store.close();
    }
}
