package org.geraniumproxy.control;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.ApplyEvent;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.core.configuration.StoredManifest;
import org.geraniumproxy.core.membership.Roster;

/**
 * Reads and writes configuration and roster in the store. Futures fail if a call to the store fails or a value can't be
 * decoded.
 */
final class ConfigurationStore {
    private final KeyValueStore store;

    ConfigurationStore(KeyValueStore store) {
        this.store = store;
    }

    CompletableFuture<StoredManifest> readManifest() {
        return store.get(StoreEncoding.MANIFEST_KEY).thenApply(StoreEncoding::decodeManifest);
    }

    CompletableFuture<Roster> readRoster() {
        return store.get(StoreEncoding.ROSTER_KEY).thenApply(StoreEncoding::decodeRoster);
    }

    /** Reads a content. The result is empty if the content is missing or does not match the digest. */
    CompletableFuture<Optional<String>> readContent(String contentDigest) {
        return store.get(StoreEncoding.contentKey(contentDigest))
                .thenApply(stored -> Optional.of(stored)
                        .filter(KeyValueStore.StoredValue::isPresent)
                        .map(value -> value.value().toStringUtf8())
                        .filter(toml -> KeyDigest.sha256(toml).equals(contentDigest)));
    }

    /** Writes a content under its digest unless it is already stored. */
    CompletableFuture<ApplyEvent> writeContent(String contentDigest, String toml) {
        ByteString value = ByteString.copyFromUtf8(toml);
        return store.compareAndSwap(StoreEncoding.contentKey(contentDigest), 0, value)
                .thenApply(result -> {
                    if (!result.swapped() && !result.current().value().equals(value)) {
                        throw new IllegalStateException(
                                "the store holds different content under the digest " + contentDigest);
                    }
                    return new ApplyEvent.ContentWritten();
                });
    }

    CompletableFuture<ApplyEvent> swapManifest(long expectedStoreRevision, Manifest manifest) {
        return store.compareAndSwap(StoreEncoding.MANIFEST_KEY, expectedStoreRevision, StoreEncoding.encode(manifest))
                .thenApply(result -> result.swapped()
                        ? new ApplyEvent.SwapSucceeded()
                        : new ApplyEvent.SwapConflicted(StoreEncoding.decodeManifest(result.current())));
    }
}
