package org.geraniumproxy.proxy.pool;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.pool.SlotPool.SlotLease;

/** Lease of a connection and, except between statements, of a slot. Its state is confined to the pool's executor. */
final class PooledLease implements SlotLease {
    private static final long NO_SLOT = -1;

    private final DatabasePool pool;
    private final Executor executor;
    private final BackendConnection connection;
    private final CustomerName customer;
    private final int weight;
    private long slotRequestId;
    private boolean released;

    PooledLease(
            DatabasePool pool,
            Executor executor,
            BackendConnection connection,
            CustomerName customer,
            int weight,
            long slotRequestId) {
        this.pool = pool;
        this.executor = executor;
        this.connection = connection;
        this.customer = customer;
        this.weight = weight;
        this.slotRequestId = slotRequestId;
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
        executor.execute(() -> {
            InvariantViolation.check(!released, "a lease must be released only once");
            released = true;
            releaseSlot();
            pool.releaseConnection(connection);
        });
    }

    @Override
    public void yieldSlot() {
        executor.execute(this::releaseSlot);
    }

    @Override
    public CompletableFuture<Boolean> resumeSlot(Instant deadline) {
        CompletableFuture<Boolean> resumed = new CompletableFuture<>();
        executor.execute(() -> {
            if (released) {
                resumed.complete(false);
            } else if (slotRequestId != NO_SLOT) {
                resumed.complete(true);
            } else {
                pool.resume(this, deadline, resumed);
            }
        });
        return resumed;
    }

    /**
     * Takes the slot that was granted for the next statement; if the lease was released meanwhile, releases the slot.
     */
    void onResumed(long requestId) {
        slotRequestId = requestId;
        if (released) {
            executor.execute(this::releaseSlot);
        }
    }

    private void releaseSlot() {
        if (slotRequestId != NO_SLOT) {
            long requestId = slotRequestId;
            slotRequestId = NO_SLOT;
            pool.releaseSlot(requestId);
        }
    }
}
