package org.geraniumproxy.proxy.testing;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.pool.SlotPool;

/** A pool without limits that uses a clean connection again and fails the test if a lease is released twice. */
public final class TestPool implements SlotPool {
    private final Function<BackendServerName, CompletableFuture<BackendConnection>> opener;
    private final Map<BackendServerName, Deque<BackendConnection>> idle = new ConcurrentHashMap<>();
    private final AtomicInteger held = new AtomicInteger();
    private volatile boolean refusing;

    public TestPool(Function<BackendServerName, CompletableFuture<BackendConnection>> opener) {
        this.opener = opener;
    }

    /** Makes every later request for a slot fail. */
    public void refuse() {
        refusing = true;
    }

    public int held() {
        return held.get();
    }

    @Override
    public CompletableFuture<SlotGrant> acquire(
            GroupName group, BackendServerName backendServer, CustomerName customer, Instant deadline) {
        if (refusing) {
            return CompletableFuture.completedFuture(
                    new SlotGrant.Refused(NotRunReason.QUEUE_FULL, "the queue is full"));
        }
        return takeIdle(backendServer)
                .map(CompletableFuture::completedFuture)
                .orElseGet(() -> opener.apply(backendServer))
                .<SlotGrant>thenApply(connection -> new SlotGrant.Granted(new Lease(backendServer, connection)))
                .exceptionally(_ -> new SlotGrant.Refused(NotRunReason.UNREACHABLE, "no connection"));
    }

    private synchronized Optional<BackendConnection> takeIdle(BackendServerName backendServer) {
        return Optional.ofNullable(idle.get(backendServer)).map(Deque::poll);
    }

    private synchronized void giveBack(BackendServerName backendServer, BackendConnection connection) {
        held.decrementAndGet();
        if (connection.isClean()) {
            idle.computeIfAbsent(backendServer, _ -> new ArrayDeque<>()).add(connection);
        } else {
            connection.close();
        }
    }

    private final class Lease implements SlotLease {
        private final BackendServerName backendServer;
        private final BackendConnection connection;
        private boolean released;

        Lease(BackendServerName backendServer, BackendConnection connection) {
            this.backendServer = backendServer;
            this.connection = connection;
            held.incrementAndGet();
        }

        @Override
        public BackendConnection connection() {
            return connection;
        }

        @Override
        public synchronized void release() {
            if (released) {
                throw new AssertionError("a lease was released twice");
            }
            released = true;
            giveBack(backendServer, connection);
        }

        @Override
        public void yieldSlot() {}

        @Override
        public CompletableFuture<Boolean> resumeSlot(Instant deadline) {
            return CompletableFuture.completedFuture(true);
        }
    }
}
