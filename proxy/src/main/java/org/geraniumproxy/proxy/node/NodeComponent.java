package org.geraniumproxy.proxy.node;

import dagger.BindsInstance;
import dagger.Component;
import java.time.Clock;
import javax.inject.Singleton;
import org.geraniumproxy.settings.NodeSettings;

/** Assembles a node. */
@Singleton
@Component(
        modules = {
            ExecutorModule.class,
            TransportModule.class,
            ControlModule.class,
            TelemetryModule.class,
            TrafficModule.class,
            FailoverModule.class
        })
interface NodeComponent {
    /** Returns the node. */
    Node node();

    /** Creates the component from what a process is started with. */
    @Component.Factory
    interface Factory {
        /**
         * Creates the component.
         *
         * @param settings settings of the node
         * @param clock clock of all adapters
         */
        NodeComponent create(@BindsInstance NodeSettings settings, @BindsInstance Clock clock);
    }
}
