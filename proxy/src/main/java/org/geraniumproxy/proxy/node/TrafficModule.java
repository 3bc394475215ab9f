package org.geraniumproxy.proxy.node;

import dagger.Module;
import dagger.Provides;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Singleton;
import org.geraniumproxy.core.pool.QueuePolicy;
import org.geraniumproxy.proxy.backend.BackendClient;
import org.geraniumproxy.proxy.caller.CallerEndpoint;
import org.geraniumproxy.proxy.control.ControlThread;
import org.geraniumproxy.proxy.control.SnapshotSource;
import org.geraniumproxy.proxy.failover.Durability;
import org.geraniumproxy.proxy.limit.LendingRateLimiter;
import org.geraniumproxy.proxy.peer.GrpcPeerClient;
import org.geraniumproxy.proxy.peer.PeerEndpoint;
import org.geraniumproxy.proxy.pool.FairSlotPool;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.geraniumproxy.proxy.telemetry.Tracing;
import org.geraniumproxy.proxy.telemetry.TrafficMetrics;
import org.geraniumproxy.proxy.traffic.BudgetedRetryPolicy;
import org.geraniumproxy.proxy.traffic.CoordinatorHandler;
import org.geraniumproxy.proxy.traffic.Delay;
import org.geraniumproxy.proxy.traffic.EntryHandler;
import org.geraniumproxy.proxy.traffic.TrafficContext;

/** The path of a request through a node. */
@Module
final class TrafficModule {
    private TrafficModule() {}

    @Provides
    @Singleton
    static TrafficContext context(
            SnapshotSource snapshots,
            Clock clock,
            @TrafficExecutor ExecutorService executor,
            Tracing tracing,
            TrafficMetrics metrics,
            InFlightRequests inFlight) {
        return new TrafficContext(snapshots, clock, Delay.SYSTEM, executor, tracing, metrics, inFlight);
    }

    @Provides
    @Singleton
    static LendingRateLimiter rateLimiter(
            GrpcPeerClient peers,
            SnapshotSource snapshots,
            Clock clock,
            @LimitExecutor ScheduledExecutorService executor) {
        return new LendingRateLimiter(peers, snapshots, clock, executor, executor);
    }

    @Provides
    @Singleton
    static FairSlotPool slotPool(
            BackendClient client,
            SnapshotSource snapshots,
            Clock clock,
            @PoolExecutor ScheduledExecutorService executor) {
        return new FairSlotPool(client, snapshots, clock, executor, executor, new QueuePolicy.WeightedFair());
    }

    @Provides
    @Singleton
    static CoordinatorHandler coordinator(TrafficContext context, FairSlotPool pool, Durability durability) {
        return new CoordinatorHandler(context, pool, durability, group -> Map.of());
    }

    @Provides
    @Singleton
    static EntryHandler entry(
            TrafficContext context,
            LendingRateLimiter rateLimiter,
            CoordinatorHandler coordinator,
            GrpcPeerClient peers,
            Clock clock) {
        return new EntryHandler(
                context, rateLimiter, coordinator, coordinator.transactions(), peers, new BudgetedRetryPolicy(clock));
    }

    @Provides
    @Singleton
    static PeerEndpoint peerEndpoint(
            CoordinatorHandler coordinator, LendingRateLimiter lender, ControlThread control, Clock clock) {
        PeerEndpoint.Handlers handlers = new PeerEndpoint.Handlers(
                coordinator,
                coordinator.transactions(),
                lender,
                control::exchange,
                () -> NodeStatusMessages.of(control.snapshot(), clock.instant()));
        return new PeerEndpoint(handlers, clock);
    }

    @Provides
    @Singleton
    static CallerEndpoint callerEndpoint(EntryHandler entry, @TrafficExecutor ExecutorService executor) {
        return new CallerEndpoint(entry, executor);
    }
}
