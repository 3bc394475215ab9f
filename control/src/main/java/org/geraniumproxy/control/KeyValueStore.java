package org.geraniumproxy.control;

import com.google.protobuf.ByteString;
import java.util.concurrent.CompletableFuture;

/**
 * Client of the platform's key-value store. A future fails if there is no reply in time; a write may have taken effect
 * then.
 */
interface KeyValueStore extends AutoCloseable {
    CompletableFuture<StoredValue> get(String key);

    /**
     * Replaces a value if its revision is the expected one.
     *
     * @param key key of the value
     * @param expectedRevision revision of the current value, zero if the key must be absent
     * @param value the new value
     * @return whether the value was replaced, and the current value
     */
    CompletableFuture<SwapResult> compareAndSwap(String key, long expectedRevision, ByteString value);

    @Override
    void close();

    /**
     * A value with the revision of the store at which it was written.
     *
     * @param revision the revision, zero if the key is absent
     * @param value the value, empty if the key is absent
     */
    record StoredValue(long revision, ByteString value) {
        boolean isPresent() {
            return revision != 0;
        }
    }

    /**
     * Reply to a compare-and-swap.
     *
     * @param swapped whether the value was replaced
     * @param current the value after the call
     */
    record SwapResult(boolean swapped, StoredValue current) {}
}
