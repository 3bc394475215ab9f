package org.geraniumproxy.proxy.node;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import java.time.Clock;
import java.util.concurrent.ScheduledExecutorService;
import javax.inject.Singleton;
import org.geraniumproxy.core.failover.DetectionPolicy;
import org.geraniumproxy.proxy.backend.BackendClient;
import org.geraniumproxy.proxy.control.ControlThread;
import org.geraniumproxy.proxy.failover.Durability;
import org.geraniumproxy.proxy.failover.GroupSupervisors;
import org.geraniumproxy.proxy.failover.SupervisionResources;
import org.geraniumproxy.proxy.store.PlatformStore;
import org.geraniumproxy.settings.NodeSettings;

/** Supervision of the groups of a node, on its control thread. */
@Module
abstract class FailoverModule {
    private FailoverModule() {}

    @Binds
    abstract Durability durability(GroupSupervisors supervisors);

    @Provides
    @Singleton
    static GroupSupervisors supervisors(
            NodeSettings settings,
            BackendClient backends,
            PlatformStore store,
            Clock clock,
            @ControlExecutor ScheduledExecutorService executor,
            ControlThread control) {
        DetectionPolicy policy = settings.detectionTimeout()
                .<DetectionPolicy>map(DetectionPolicy.FixedTimeout::new)
                .orElseGet(DetectionPolicy::adaptive);
        SupervisionResources resources = new SupervisionResources(backends, store, clock, executor, executor, policy);
        GroupSupervisors supervisors =
                new GroupSupervisors(settings.name(), resources, control::publishGroup, control::withdrawGroup);
        control.addListener(snapshot ->
                supervisors.update(snapshot.currentConfiguration(), snapshot.roster(), snapshot.unavailableVms()));
        return supervisors;
    }
}
