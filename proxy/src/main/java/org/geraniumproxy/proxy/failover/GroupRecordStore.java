package org.geraniumproxy.proxy.failover;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.failover.GroupRecord;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.proxy.store.PlatformStore;
import org.geraniumproxy.proxy.store.PlatformStore.StoredValue;
import org.geraniumproxy.proxy.store.StoreKeys;
import org.jboss.logging.Logger;

/** Writes group records by compare-and-swap, unless the store holds a higher term. */
final class GroupRecordStore {
    /** Tries against other writers of the same record: coordinator and standby are the only ones. */
    private static final int MAXIMUM_ATTEMPTS = 3;

    private static final Logger log = Logger.getLogger(GroupRecordStore.class);

    private final PlatformStore store;

    GroupRecordStore(PlatformStore store) {
        this.store = store;
    }

    /** Returns the term of the stored record afterwards. A swap whose reply was lost took effect or not. */
    CompletableFuture<Term> put(GroupRecord groupRecord) {
        String key = StoreKeys.group(groupRecord.group());
        return store.get(key).thenCompose(stored -> putIfNewer(groupRecord, stored, MAXIMUM_ATTEMPTS));
    }

    private CompletableFuture<Term> putIfNewer(GroupRecord groupRecord, StoredValue stored, int remainingAttempts) {
        Optional<GroupRecord> known = decode(groupRecord.group(), stored);
        if (known.isPresent() && !groupRecord.supersedes(known.get())) {
            return CompletableFuture.completedFuture(known.get().term());
        }
        if (remainingAttempts == 0) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("group record of " + groupRecord.group() + " changes too often"));
        }
        return store.compareAndSwap(
                        StoreKeys.group(groupRecord.group()), stored.revision(), GroupRecordCodec.encode(groupRecord))
                .thenCompose(result -> result.swapped()
                        ? CompletableFuture.completedFuture(groupRecord.term())
                        : putIfNewer(groupRecord, result.current(), remainingAttempts - 1));
    }

    private static Optional<GroupRecord> decode(GroupName group, StoredValue stored) {
        if (!stored.isPresent()) {
            return Optional.empty();
        }
        try {
            return Optional.of(GroupRecordCodec.decode(group, stored.value()));
        } catch (IllegalArgumentException e) {
            log.warnf("failover: group %s: the record in the store is malformed and is replaced", group);
            return Optional.empty();
        }
    }
}
