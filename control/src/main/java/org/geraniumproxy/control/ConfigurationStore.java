package org.geraniumproxy.control;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.ApplyEvent;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.core.configuration.StoredManifest;
import org.geraniumproxy.core.membership.Roster;

/** Configuration and roster in the store. Futures fail as those of the store, and for values that can't be decoded. */
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

    /** Reads a content; it is empty if the store does not hold exactly the content of the digest. */
    CompletableFuture<Optional<String>> readContent(String contentDigest) {
        return store.get(StoreEncoding.contentKey(contentDigest))
                .thenApply(stored -> Optional.of(stored)
                        .filter(KeyValueStore.StoredValue::isPresent)
                        .map(value -> value.value().toStringUtf8())
                        .filter(toml -> KeyDigest.sha256(toml).equals(contentDigest)));
    }

    /** Writes a content under its digest. A content that is already there is left as it is. */
    CompletableFuture<ApplyEvent> writeContent(String contentDigest, String toml) {
        ByteString value = ByteString.copyFromUtf8(toml);
        return store.compareAndSwap(StoreEncoding.contentKey(contentDigest), 0, value)
                .thenApply(result -> {
                    if (!result.swapped() && !result.current().value().equals(value)) {
                        throw new IllegalStateException(
                                "the store holds another content under the digest " + contentDigest);
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
