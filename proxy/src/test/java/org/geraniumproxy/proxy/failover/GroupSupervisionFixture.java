package org.geraniumproxy.proxy.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.configuration.DatabaseGroup;
import org.geraniumproxy.core.failover.DetectionPolicy;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.backend.GrpcBackendClient;
import org.geraniumproxy.proxy.store.GrpcPlatformStore;
import org.geraniumproxy.proxy.transport.ChannelCache;
import org.geraniumproxy.standin.StandinPlatform;
import org.geraniumproxy.standin.Transport;
import org.geraniumproxy.standin.database.DatabaseSettings;
import org.geraniumproxy.standin.runtime.Faults;
import org.geraniumproxy.standin.runtime.VirtualTimeExecutor;

/**
 * Three stand-in databases, the stand-in store and supervisors over in-process gRPC, all on one thread with virtual
 * time that only tests advance.
 */
final class GroupSupervisionFixture implements AutoCloseable {
    static final GroupName GROUP = GroupName.of("ledger-1");

    private final VirtualTimeExecutor executor = VirtualTimeExecutor.at(Instant.EPOCH);
    private final StandinPlatform platform = StandinPlatform.start(new Transport.InProcess(), executor);
    private final String prefix = UUID.randomUUID().toString();
    private final Map<BackendServerName, org.geraniumproxy.standin.database.BackendServer> databases = new HashMap<>();
    private final DatabaseGroup group;
    private final GrpcBackendClient backends;
    private final GrpcPlatformStore store;
    private final Map<String, GroupView> views = new HashMap<>();

    GroupSupervisionFixture(DatabaseSettings settings) {
        group = new DatabaseGroup(
                GROUP, Stream.of("a", "b", "c").map(this::server).toList(), 4, 16, 4);
        group.backendServers()
                .forEach(server -> databases.put(
                        server.name(), platform.addDatabase(server.name().value(), server.address(), settings)));
        var unused = platform.addStore(prefix + "store");
        backends = new GrpcBackendClient(new ChannelCache(platform::openChannel, clock()), executor::execute, clock());
        store = new GrpcPlatformStore(platform.openChannel(prefix + "store"), executor::execute);
    }

    /** Starts the supervisors of a VM. The roster always consists of vm-0 and vm-1. */
    GroupSupervisors supervise(String vm) {
        SupervisionResources resources = new SupervisionResources(
                backends,
                store,
                clock(),
                executor::execute,
                new VirtualTimeScheduler(executor),
                DetectionPolicy.adaptive());
        GroupSupervisors supervisors =
                new GroupSupervisors(VmName.of(vm), resources, view -> views.put(vm, view), _ -> views.remove(vm));
        update(supervisors, Set.of());
        return supervisors;
    }

    void update(GroupSupervisors supervisors, Set<VmName> unavailable) {
        Configuration configuration = new Configuration(Map.of(), Map.of(GROUP, group), Map.of());
        supervisors.update(configuration, new Roster(1, List.of(vm(0), vm(1))), unavailable);
    }

    void advance(int millis) {
        executor.advance(Duration.ofMillis(millis));
    }

    Instant now() {
        return executor.now();
    }

    GroupView view(String vm) {
        return views.get(vm);
    }

    boolean isSupervisedBy(String vm) {
        return views.containsKey(vm);
    }

    BackendServerName primary(String vm) {
        return view(vm).primary().orElseThrow();
    }

    void inject(BackendServerName server, Faults faults) {
        executor.execute(() -> databases.get(server).faultTarget().inject(faults));
    }

    /** Commits a write at a primary and returns its position. */
    LogPosition write(GroupView view, String key) {
        BackendServer primary =
                group.findBackendServer(view.primary().orElseThrow()).orElseThrow();
        CompletableFuture<BackendConnection> opening = backends.open(primary);
        advance(1);
        try (BackendConnection connection = opening.join()) {
            CompletableFuture<BackendReply> reply = connection.execute(
                    new BackendCommand.Execute("PUT " + key + " 1", true), view.term(), CustomerName.of("customer"));
            advance(1);
            return ((BackendReply.Completed) reply.join()).position();
        }
    }

    GrpcPlatformStore store() {
        return store;
    }

    @Override
    public void close() {
        backends.close();
        store.close();
        platform.close();
    }

    private Clock clock() {
        return new Clock() {
            @Override
            public Instant instant() {
                return executor.now();
            }

            @Override
            public ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(ZoneId zone) {
                throw new UnsupportedOperationException("the clock supports only UTC");
            }
        };
    }

    private BackendServer server(String name) {
        return new BackendServer(
                BackendServerName.of(name), prefix + name, RegionName.of("lima"), FailureDomain.of("lima-1"));
    }

    private static Vm vm(int index) {
        return new Vm(
                index,
                VmName.of("vm-" + index),
                "127.0.0.1:1",
                RegionName.of("lima"),
                FailureDomain.of("lima-1"),
                1,
                false);
    }
}
