package org.geraniumproxy.proxy.pool;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.pool.SlotPool.SlotLease;

/** A slot and its connection. Its state is confined to the owner of the pool. */
final class PooledLease implements SlotLease {
    private static final long NO_SLOT = -1;

    private final DatabasePool pool;
    private final Executor owner;
    private final BackendConnection connection;
    private final CustomerName customer;
    private final int weight;
    private long slot;
    private boolean released;

    PooledLease(
            DatabasePool pool,
            Executor owner,
            BackendConnection connection,
            CustomerName customer,
            int weight,
            long slot) {
        this.pool = pool;
        this.owner = owner;
        this.connection = connection;
        this.customer = customer;
        this.weight = weight;
        this.slot = slot;
    }

    CustomerName customer() {
        return customer;
    }

    int weight() {
        return weight;
    }

    @Override
    public BackendConnection connection() {
        return connection;
    }

    @Override
    public void release() {
        owner.execute(() -> {
            InvariantViolation.check(!released, "a lease is released once");
            released = true;
            giveSlotBack();
            pool.giveBack(connection);
        });
    }

    @Override
    public void yieldSlot() {
        owner.execute(this::giveSlotBack);
    }

    @Override
    public CompletableFuture<Boolean> resumeSlot(Instant deadline) {
        CompletableFuture<Boolean> resumed = new CompletableFuture<>();
        owner.execute(() -> {
            if (released) {
                resumed.complete(false);
            } else if (slot != NO_SLOT) {
                resumed.complete(true);
            } else {
                pool.resume(this, deadline, resumed);
            }
        });
        return resumed;
    }

    /** Takes a slot that was waited for; a lease that was released meanwhile gives it back. */
    void resumed(long number) {
        slot = number;
        if (released) {
            owner.execute(this::giveSlotBack);
        }
    }

    private void giveSlotBack() {
        if (slot != NO_SLOT) {
            long number = slot;
            slot = NO_SLOT;
            pool.releaseSlot(number);
        }
    }
}
