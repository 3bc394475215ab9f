package org.geraniumproxy.proxy.node;

import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.geraniumproxy.proxy.backend.BackendClient;
import org.geraniumproxy.proxy.failover.GroupSupervisors;
import org.geraniumproxy.proxy.limit.LendingRateLimiter;
import org.geraniumproxy.proxy.peer.GrpcPeerClient;
import org.geraniumproxy.proxy.pool.FairSlotPool;
import org.geraniumproxy.proxy.store.PlatformStore;
import org.geraniumproxy.proxy.telemetry.Tracing;
import org.geraniumproxy.proxy.transport.ChannelCache;
import org.geraniumproxy.proxy.transport.TlsMaterial;

/** What a node starts beside its servers, and what it gives back when it stops. */
@Singleton
final class NodeResources {
    private final LendingRateLimiter rateLimiter;
    private final FairSlotPool slotPool;
    private final GroupSupervisors supervisors;
    private final LeavingListPoll leavingList;
    private final GrpcPeerClient peers;
    private final BackendClient backends;
    private final PlatformStore store;
    private final ChannelCache channels;
    private final Tracing tracing;
    private final Optional<TlsMaterial> tls;
    private final NodeExecutors executors;

    @Inject
    NodeResources(
            LendingRateLimiter rateLimiter,
            FairSlotPool slotPool,
            GroupSupervisors supervisors,
            LeavingListPoll leavingList,
            GrpcPeerClient peers,
            BackendClient backends,
            PlatformStore store,
            ChannelCache channels,
            Tracing tracing,
            Optional<TlsMaterial> tls,
            NodeExecutors executors) {
        this.rateLimiter = rateLimiter;
        this.slotPool = slotPool;
        this.supervisors = supervisors;
        this.leavingList = leavingList;
        this.peers = peers;
        this.backends = backends;
        this.store = store;
        this.channels = channels;
        this.tracing = tracing;
        this.tls = tls;
        this.executors = executors;
    }

    void start() {
        rateLimiter.start();
        slotPool.start();
        leavingList.start();
    }

    /** Closes links and threads; connections to backend servers end with their links. */
    void close() {
        supervisors.close();
        peers.close();
        backends.close();
        store.close();
        channels.close();
        tls.ifPresent(TlsMaterial::close);
        tracing.close();
        executors.close();
    }
}
