package org.geraniumproxy.proxy.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.proxy.store.PlatformStore;
import org.geraniumproxy.proxy.store.PlatformStore.StoredValue;
import org.geraniumproxy.proxy.store.StoreKeys;

/**
 * Changes the roster in the store by compare-and-swap. A change that lost a race or a reply is computed again from the
 * roster as it then is; each change has no effect if it has already been made.
 */
final class RosterKeeper {
    private final PlatformStore store;
    private final NodeIdentity identity;

    RosterKeeper(PlatformStore store, NodeIdentity identity) {
        this.store = store;
        this.identity = identity;
    }

    /** Adds this process to the roster. */
    CompletableFuture<Roster> join() {
        return change(roster -> isListed(roster, identity.name(), identity.incarnation())
                ? Optional.empty()
                : Optional.of(roster.join(
                        identity.name(),
                        identity.peerAddress(),
                        identity.region(),
                        identity.failureDomain(),
                        identity.incarnation())));
    }

    /** Removes this process from the roster. */
    CompletableFuture<Roster> leave() {
        return remove(identity.name(), identity.incarnation());
    }

    /** Removes a process from the roster; a later process of the same name stays. */
    CompletableFuture<Roster> remove(VmName vm, long incarnation) {
        return change(roster -> isListed(roster, vm, incarnation) ? Optional.of(roster.without(vm)) : Optional.empty());
    }

    private CompletableFuture<Roster> change(Function<Roster, Optional<Roster>> change) {
        return store.get(StoreKeys.ROSTER).thenCompose(stored -> swap(stored, change));
    }

    private CompletableFuture<Roster> swap(StoredValue stored, Function<Roster, Optional<Roster>> change) {
        Roster current = decode(stored);
        Optional<Roster> next = change.apply(current);
        if (next.isEmpty()) {
            return CompletableFuture.completedFuture(current);
        }
        return store.compareAndSwap(StoreKeys.ROSTER, stored.revision(), ViewCodec.encoded(next.get()))
                .thenCompose(result -> result.swapped()
                        ? CompletableFuture.completedFuture(next.get())
                        : swap(result.current(), change));
    }

    private static boolean isListed(Roster roster, VmName name, long incarnation) {
        return roster.find(name)
                .map(Vm::incarnation)
                .filter(listed -> listed == incarnation)
                .isPresent();
    }

    static Roster decode(StoredValue stored) {
        if (!stored.isPresent()) {
            return Roster.EMPTY;
        }
        try {
            return ViewCodec.roster(stored.value());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException("the roster in the store can't be decoded", e);
        }
    }
}
