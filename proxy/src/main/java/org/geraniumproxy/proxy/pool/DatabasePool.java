package org.geraniumproxy.proxy.pool;

import java.time.Clock;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.pool.PoolEffect;
import org.geraniumproxy.core.pool.PoolEvent;
import org.geraniumproxy.core.pool.PoolState;
import org.geraniumproxy.core.pool.PoolView;
import org.geraniumproxy.core.pool.QueuePolicy;
import org.geraniumproxy.core.pool.SlotRequest;
import org.geraniumproxy.proxy.backend.BackendClient;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.pool.SlotPool.SlotGrant;
import org.jboss.logging.Logger;

/** Slots and connections of one database. Confined to the executor of {@link FairSlotPool}. */
final class DatabasePool {
    private static final Logger log = Logger.getLogger(DatabasePool.class);

    /** Cost of every statement in the fair queue. The proxy does not parse statements, so all cost the same. */
    private static final double STATEMENT_COST = 1;

    private final BackendClient client;
    private final Clock clock;
    private final Executor executor;
    private final Map<Long, SlotCallback> callbacks = new HashMap<>();
    private final Deque<BackendConnection> idle = new ArrayDeque<>();
    private PoolState state;
    private Optional<BackendServer> server = Optional.empty();
    private PoolView view = new PoolView(1, 0, 0, Optional.empty());
    private long nextRequestId;

    /** Receives the result of a slot request. */
    private interface SlotCallback {
        void granted(long requestId);

        void refused(NotRunReason reason);
    }

    DatabasePool(BackendClient client, Clock clock, Executor executor, QueuePolicy policy) {
        this.client = client;
        this.clock = clock;
        this.executor = executor;
        this.state = PoolState.initial(policy);
    }

    void update(BackendServer newServer, PoolView newView) {
        server = Optional.of(newServer);
        view = newView;
    }

    void tick() {
        apply(new PoolEvent.TimePassed());
    }

    /**
     * Closes idle connections of a database that was removed from the configuration. Returns true once the pool has
     * neither connections nor queued requests.
     */
    boolean isEmptyAfterRemoval() {
        view = new PoolView(view.slots(), 0, 0, Optional.empty());
        tick();
        return state.totalConnections() == 0 && state.waitingRequests() == 0;
    }

    void acquire(CustomerName customer, int weight, Instant deadline, CompletableFuture<SlotGrant> grant) {
        request(customer, weight, deadline, false, new SlotCallback() {
            @Override
            public void granted(long requestId) {
                BackendConnection connection = idle.remove();
                grant.complete(new SlotGrant.Granted(
                        new PooledLease(DatabasePool.this, executor, connection, customer, weight, requestId)));
            }

            @Override
            public void refused(NotRunReason reason) {
                grant.complete(new SlotGrant.Refused(reason, rejectionDetail(reason)));
            }
        });
    }

    void resume(PooledLease lease, Instant deadline, CompletableFuture<Boolean> resumed) {
        request(lease.customer(), lease.weight(), deadline, true, new SlotCallback() {
            @Override
            public void granted(long requestId) {
                lease.onResumed(requestId);
                resumed.complete(true);
            }

            @Override
            public void refused(NotRunReason reason) {
                resumed.complete(false);
            }
        });
    }

    void releaseSlot(long requestId) {
        apply(new PoolEvent.SlotReleased(requestId));
    }

    void releaseConnection(BackendConnection connection) {
        boolean clean = connection.isClean();
        if (clean) {
            idle.add(connection);
        } else {
            connection.close();
        }
        apply(new PoolEvent.ConnectionReturned(clean));
    }

    private void request(
            CustomerName customer, int weight, Instant deadline, boolean holdsConnection, SlotCallback callback) {
        long requestId = nextRequestId++;
        callbacks.put(requestId, callback);
        apply(new PoolEvent.SlotRequested(
                new SlotRequest(requestId, customer, weight, STATEMENT_COST, deadline, holdsConnection)));
    }

    private void apply(PoolEvent event) {
        removeBrokenConnections(event);
        applyTransition(event);
    }

    /** Removes idle connections that are no longer usable, before a request is granted one of them. */
    private void removeBrokenConnections(PoolEvent event) {
        int idleBefore = idle.size();
        idle.removeIf(connection -> {
            boolean broken = !connection.isClean();
            if (broken) {
                connection.close();
            }
            return broken;
        });
        int lost = idleBefore - idle.size();
        if (lost > 0 && !(event instanceof PoolEvent.ConnectionReturned)) {
            log.infof("backend: removed %d broken idle connections to %s", lost, name());
        }
        if (lost > 0) {
            applyTransition(new PoolEvent.IdleConnectionsLost(lost));
        }
    }

    private void applyTransition(PoolEvent event) {
        Transition<PoolState, PoolEffect> transition = state.on(event, view, clock.instant());
        state = transition.state();
        for (PoolEffect effect : transition.effects()) {
            switch (effect) {
                case PoolEffect.Grant grant -> {
                    long requestId = grant.request().id();
                    callbacks.remove(requestId).granted(requestId);
                }
                case PoolEffect.Refuse refuse ->
                    callbacks.remove(refuse.request().id()).refused(refuse.reason());
                case PoolEffect.Open open -> openConnections(open.count());
                case PoolEffect.CloseIdle close -> closeIdleConnections(close.count());
            }
        }
    }

    private void openConnections(int count) {
        for (int opened = 0; opened < count; opened++) {
            var unused = client.open(server.orElseThrow())
                    .whenComplete((connection, failure) -> executor.execute(() -> {
                        if (connection == null) {
                            log.infof("backend: failed to open a connection to %s", name());
                            apply(new PoolEvent.OpeningFailed());
                        } else {
                            idle.add(connection);
                            apply(new PoolEvent.ConnectionOpened());
                        }
                    }));
        }
    }

    private void closeIdleConnections(int count) {
        for (int closed = 0; closed < count; closed++) {
            idle.remove().close();
        }
    }

    private String name() {
        return server.map(known -> known.name().value()).orElse("a removed database");
    }

    private static String rejectionDetail(NotRunReason reason) {
        return switch (reason) {
            case QUEUE_FULL -> "the customer's queue for the database is full";
            case DEADLINE_UNREACHABLE -> "no slot is expected before the deadline";
            default -> "no slot is available";
        };
    }
}
