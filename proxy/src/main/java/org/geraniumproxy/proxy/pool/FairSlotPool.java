package org.geraniumproxy.proxy.pool;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.Customer;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.pool.ConnectionBudget;
import org.geraniumproxy.core.pool.QueuePolicy;
import org.geraniumproxy.proxy.backend.BackendClient;
import org.geraniumproxy.proxy.control.SnapshotSource;
import org.jboss.logging.Logger;

/**
 * Slots and connections of the databases of the groups that this VM coordinates or stands by for. All state belongs to
 * one single-threaded executor; other threads send events and get futures.
 */
public final class FairSlotPool implements SlotPool {
    private static final Logger log = Logger.getLogger(FairSlotPool.class);

    /** Interval of the look at deadlines, ranks and reports; about the interval of the reports. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

    private final BackendClient client;
    private final SnapshotSource snapshots;
    private final Clock clock;
    private final Executor executor;
    private final ScheduledExecutorService timer;
    private final QueuePolicy policy;
    private final Map<GroupName, ConnectionBudget> budgets = new HashMap<>();
    private final Map<DatabaseKey, DatabasePool> databases = new HashMap<>();

    private record DatabaseKey(GroupName group, BackendServerName backendServer) {}

    /**
     * Creates the pool. It does nothing before {@link #start()}.
     *
     * @param client opens connections
     * @param snapshots the newest control state
     * @param clock the clock
     * @param executor the single-threaded executor that owns slots and connections
     * @param timer sends time events to the owner
     * @param policy order of the waiting requests
     */
    public FairSlotPool(
            BackendClient client,
            SnapshotSource snapshots,
            Clock clock,
            Executor executor,
            ScheduledExecutorService timer,
            QueuePolicy policy) {
        this.client = client;
        this.snapshots = snapshots;
        this.clock = clock;
        this.executor = executor;
        this.timer = timer;
        this.policy = policy;
    }

    /** Begins to look at ranks, reports and deadlines regularly and keeps connections warm. */
    public void start() {
        var unused = timer.scheduleAtFixedRate(
                () -> executor.execute(this::tick), 0, TICK_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<SlotGrant> acquire(
            GroupName group, BackendServerName backendServer, CustomerName customer, Instant deadline) {
        CompletableFuture<SlotGrant> grant = new CompletableFuture<>();
        executor.execute(() -> {
            try {
                Optional<DatabasePool> database = refresh(group, backendServer);
                if (database.isEmpty()) {
                    grant.complete(new SlotGrant.Refused(NotRunReason.UNREACHABLE, "the database is not configured"));
                } else {
                    database.get().acquire(customer, weight(customer), deadline, grant);
                }
            } catch (RuntimeException e) {
                log.error("backend: request for a slot failed", e);
                grant.completeExceptionally(e);
            }
        });
        return grant;
    }

    private int weight(CustomerName customer) {
        Customer configured =
                snapshots.snapshot().currentConfiguration().customers().get(customer);
        return configured == null ? 1 : configured.weight();
    }

    private void tick() {
        ControlSnapshot snapshot = snapshots.snapshot();
        Set<DatabaseKey> configured = new HashSet<>();
        for (GroupName name : snapshot.groups().keySet()) {
            DatabaseGroup group = snapshot.currentConfiguration().groups().get(name);
            if (group != null) {
                group.backendServers().forEach(server -> configured.add(new DatabaseKey(name, server.name())));
            }
        }
        Set<DatabaseKey> all = new HashSet<>(databases.keySet());
        all.addAll(configured);
        for (DatabaseKey key : all) {
            try {
                refreshOrRemove(key);
            } catch (RuntimeException e) {
                log.errorf(e, "backend: look at the connections of %s failed", key.backendServer());
            }
        }
    }

    private void refreshOrRemove(DatabaseKey key) {
        Optional<DatabasePool> database = refresh(key.group(), key.backendServer());
        if (database.isPresent()) {
            database.get().tick();
            return;
        }
        DatabasePool removed = databases.get(key);
        if (removed != null && removed.isEmptyAfterRemoval()) {
            databases.remove(key);
        }
    }

    /** Brings the view of a database up to date; empty if the configuration does not name it. */
    private Optional<DatabasePool> refresh(GroupName groupName, BackendServerName name) {
        ControlSnapshot snapshot = snapshots.snapshot();
        DatabaseGroup group = snapshot.currentConfiguration().groups().get(groupName);
        Optional<BackendServer> server = Optional.ofNullable(group).flatMap(found -> found.findBackendServer(name));
        if (group == null || server.isEmpty()) {
            return Optional.empty();
        }
        ConnectionBudget budget =
                budgets.getOrDefault(groupName, ConnectionBudget.UNKNOWN).observe(snapshot, group, clock.instant());
        budgets.put(groupName, budget);
        DatabasePool database = databases.computeIfAbsent(
                new DatabaseKey(groupName, name), _ -> new DatabasePool(client, clock, executor, policy));
        database.update(server.get(), PoolViewFactory.of(snapshot, group, name, budget));
        return Optional.of(database);
    }
}
