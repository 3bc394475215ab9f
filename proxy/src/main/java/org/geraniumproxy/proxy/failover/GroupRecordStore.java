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

/** Writes group records by compare-and-swap. A stored record with a higher term is never overwritten. */
final class GroupRecordStore {
    /** Only coordinator and standby write a record, so a few attempts are enough when their writes conflict. */
    private static final int MAXIMUM_ATTEMPTS = 3;

    private static final Logger log = Logger.getLogger(GroupRecordStore.class);

    private final PlatformStore store;

    GroupRecordStore(PlatformStore store) {
        this.store = store;
    }

    /**
     * Writes the record unless the stored one supersedes it, and returns the term of the record that is then stored. If
     * the future fails, the write may or may not have taken effect.
     */
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
            return CompletableFuture.failedFuture(new IllegalStateException(
                    "group record of " + groupRecord.group() + " was changed by another writer in every attempt"));
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
            log.warnf("failover: group %s: replacing a malformed record in the store", group);
            return Optional.empty();
        }
    }
}
