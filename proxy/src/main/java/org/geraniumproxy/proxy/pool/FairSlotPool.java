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
 * Slots and connections of the databases of all groups for which this VM is coordinator or standby. All state is
 * confined to one single-threaded executor; other threads submit requests and receive futures.
 */
public final class FairSlotPool implements SlotPool {
    private static final Logger log = Logger.getLogger(FairSlotPool.class);

    /** Interval at which deadlines, ranks and status reports are evaluated; about the interval of the reports. */
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
     * Creates the pool. Deadlines and connection counts are maintained only after {@link #start()}.
     *
     * @param client opens connections to the databases
     * @param snapshots source of the newest configuration and group views
     * @param clock measures deadlines and the age of reports
     * @param executor single-threaded executor to which slots and connections are confined
     * @param timer starts tasks that only pass work on to the executor
     * @param policy order and limits of queued requests
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

    /** Starts the regular evaluation of ranks, reports and deadlines, which also keeps connections open in advance. */
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
                log.error("backend: slot request failed", e);
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
                log.errorf(e, "backend: evaluation of the connections of %s failed", key.backendServer());
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

    /** Updates the pool of a database from the newest control state; empty if the database is not configured. */
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
