package org.geraniumproxy.proxy.store;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Access to the platform's key-value store. A future completes exceptionally if no reply arrives in time; a write may
 * have taken effect nevertheless.
 */
public interface PlatformStore extends AutoCloseable {
    /**
     * Reads a key.
     *
     * @param key one of {@link StoreKeys}
     * @return the value and the revision at which it was written
     */
    CompletableFuture<StoredValue> get(String key);

    /**
     * Replaces a value if it has not changed since it was read.
     *
     * @param key one of {@link StoreKeys}
     * @param expectedRevision revision at which the current value was written, zero if the key must be absent
     * @param value the new value, empty to delete the key
     * @return whether the value was replaced, and the current value
     */
    CompletableFuture<SwapResult> compareAndSwap(String key, long expectedRevision, ByteString value);

    /**
     * Waits for a key to change.
     *
     * @param key one of {@link StoreKeys}
     * @param knownRevision revision that the caller has; a different one is returned without waiting
     * @param wait maximum wait, after which the unchanged value is returned
     * @return the current value, changed or not
     */
    CompletableFuture<StoredValue> watch(String key, long knownRevision, Duration wait);

    /** Closes the connection to the store; calls that are still running fail. */
    @Override
    void close();

    /**
     * A value with the revision of the store at which it was written.
     *
     * @param revision the revision, zero if the key is absent
     * @param value the value, empty if the key is absent
     */
    record StoredValue(long revision, ByteString value) {
        /**
         * Returns whether the key was present.
         *
         * @return true if it was
         */
        public boolean isPresent() {
            return revision != 0;
        }
    }

    /**
     * Result of a compare-and-swap.
     *
     * @param swapped whether the value was replaced
     * @param current the value after the call
     */
    record SwapResult(boolean swapped, StoredValue current) {}
}
