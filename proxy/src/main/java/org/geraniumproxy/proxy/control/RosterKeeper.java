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

    /**
     * Removes this process from the roster.
     *
     * @param joinUnconfirmed whether a join was sent whose reply is not known. The roster is then written in any case,
     *     so that its revision is no longer the one that the join expects, should the store receive it later.
     */
    CompletableFuture<Roster> leave(boolean joinUnconfirmed) {
        return change(roster -> {
            if (isListed(roster, identity.name(), identity.incarnation())) {
                return Optional.of(roster.without(identity.name()));
            }
            return joinUnconfirmed ? Optional.of(rewritten(roster)) : Optional.empty();
        });
    }

    private static Roster rewritten(Roster roster) {
        return new Roster(roster.revision() + 1, roster.vms(), roster.nextIndex());
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
