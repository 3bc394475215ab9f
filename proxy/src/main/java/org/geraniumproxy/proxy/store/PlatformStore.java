package org.geraniumproxy.proxy.store;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Access to the platform's key-value store. Futures complete exceptionally if the outcome is not known in time. */
public interface PlatformStore extends AutoCloseable {
    /**
     * Reads a key.
     *
     * @param key the key
     * @return the value and the revision at which it was written
     */
    CompletableFuture<StoredValue> get(String key);

    /**
     * Replaces a value if it has not changed since it was read.
     *
     * @param key the key
     * @param expectedRevision revision at which the current value was written, zero if the key must be absent
     * @param value the new value, empty to delete the key
     * @return whether the value was replaced, and the current value
     */
    CompletableFuture<SwapResult> compareAndSwap(String key, long expectedRevision, ByteString value);

    /**
     * Waits for a key to change.
     *
     * @param key the key
     * @param knownRevision revision that is already known
     * @param wait longest wait
     * @return the current value, changed or not
     */
    CompletableFuture<StoredValue> watch(String key, long knownRevision, Duration wait);

    /** Closes the link. */
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
         * Tells whether the key was present.
         *
         * @return true if it was
         */
        public boolean isPresent() {
            return revision != 0;
        }
    }

    /**
     * Answer to a compare-and-swap.
     *
     * @param swapped whether the value was replaced
     * @param current the value after the call
     */
    record SwapResult(boolean swapped, StoredValue current) {}
}
