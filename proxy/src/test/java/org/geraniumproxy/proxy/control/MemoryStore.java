package org.geraniumproxy.proxy.control;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.proxy.store.PlatformStore;

/** A store in memory that can be taken down, and that can lose replies after their effect. */
final class MemoryStore implements PlatformStore {
    private final Map<String, StoredValue> values = new HashMap<>();
    private long revision;
    private boolean down;
    private int repliesToLose;

    synchronized void takeDown() {
        down = true;
    }

    synchronized void loseReplies(int count) {
        repliesToLose = count;
    }

    @Override
    public synchronized CompletableFuture<StoredValue> get(String key) {
        return answer(current(key));
    }

    @Override
    public synchronized CompletableFuture<SwapResult> compareAndSwap(
            String key, long expectedRevision, ByteString value) {
        if (down) {
            return answer(null);
        }
        boolean swapped = current(key).revision() == expectedRevision;
        if (swapped) {
            revision++;
            values.put(key, new StoredValue(revision, value));
        }
        if (repliesToLose > 0) {
            repliesToLose--;
            return CompletableFuture.failedFuture(new IllegalStateException("reply lost"));
        }
        return answer(new SwapResult(swapped, current(key)));
    }

    @Override
    public synchronized CompletableFuture<StoredValue> watch(String key, long knownRevision, Duration wait) {
        if (current(key).revision() != knownRevision) {
            return answer(current(key));
        }
        // A short wait instead of the one that was asked for keeps the tests fast.
        return new CompletableFuture<Void>()
                .completeOnTimeout(null, 20, TimeUnit.MILLISECONDS)
                .thenCompose(ignored -> get(key));
    }

    @Override
    public void close() {
        // There is nothing to close.
    }

    private StoredValue current(String key) {
        return values.getOrDefault(key, new StoredValue(0, ByteString.EMPTY));
    }

    private <T> CompletableFuture<T> answer(T value) {
        return down
                ? CompletableFuture.failedFuture(new IllegalStateException("the store is down"))
                : CompletableFuture.completedFuture(value);
    }
}
