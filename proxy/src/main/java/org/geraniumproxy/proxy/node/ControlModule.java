package org.geraniumproxy.proxy.node;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import java.time.Clock;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Singleton;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.proxy.control.ControlThread;
import org.geraniumproxy.proxy.control.NodeIdentity;
import org.geraniumproxy.proxy.control.SnapshotSource;
import org.geraniumproxy.proxy.peer.GrpcPeerClient;
import org.geraniumproxy.proxy.store.PlatformStore;
import org.geraniumproxy.settings.ConfigurationReader;
import org.geraniumproxy.settings.FindingMessages;
import org.geraniumproxy.settings.NodeSettings;
import org.geraniumproxy.settings.ReadResult;

/** The control thread of a node. */
@Module
abstract class ControlModule {
    private ControlModule() {}

    @Provides
    @Singleton
    static NodeIdentity identity(NodeSettings settings, Clock clock) {
        return new NodeIdentity(
                settings.name(),
                settings.peerAddress().toString(),
                settings.region(),
                settings.failureDomain(),
                clock.millis());
    }

    @Provides
    @Singleton
    static ControlThread controlThread(
            NodeIdentity identity,
            PlatformStore store,
            GrpcPeerClient peers,
            Clock clock,
            @ControlExecutor ScheduledExecutorService executor) {
        return new ControlThread(identity, store, peers, ControlModule::parse, clock, executor);
    }

    @Binds
    abstract SnapshotSource snapshots(ControlThread controlThread);

    private static Configuration parse(String text) {
        return switch (ConfigurationReader.read("configuration", text)) {
            case ReadResult.Accepted<Configuration> accepted -> accepted.value();
            case ReadResult.Rejected<Configuration> rejected ->
                throw new IllegalArgumentException(FindingMessages.of(rejected.findings()));
        };
    }
}
