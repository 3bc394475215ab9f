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
    private static final int TRIES = 3;

    private static final Logger log = Logger.getLogger(GroupRecordStore.class);

    private final PlatformStore store;

    GroupRecordStore(PlatformStore store) {
        this.store = store;
    }

    /** Returns the term of the stored record afterwards. A swap whose reply was lost took effect or not. */
    CompletableFuture<Term> put(GroupRecord wanted) {
        String key = StoreKeys.group(wanted.group());
        return store.get(key).thenCompose(stored -> putOver(wanted, stored, TRIES));
    }

    private CompletableFuture<Term> putOver(GroupRecord wanted, StoredValue stored, int tries) {
        Optional<GroupRecord> known = decode(wanted.group(), stored);
        if (known.isPresent() && !wanted.supersedes(known.get())) {
            return CompletableFuture.completedFuture(known.get().term());
        }
        if (tries == 0) {
            return CompletableFuture.failedFuture(
                    new IllegalStateException("group record of " + wanted.group() + " changes too often"));
        }
        return store.compareAndSwap(StoreKeys.group(wanted.group()), stored.revision(), GroupRecordCodec.encode(wanted))
                .thenCompose(result -> result.swapped()
                        ? CompletableFuture.completedFuture(wanted.term())
                        : putOver(wanted, result.current(), tries - 1));
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
