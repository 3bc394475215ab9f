package org.geraniumproxy.proxy.node;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.geraniumproxy.proxy.control.ControlThread;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.geraniumproxy.proxy.telemetry.TelemetryEndpoint;
import org.geraniumproxy.proxy.telemetry.TrafficMetrics;
import org.geraniumproxy.proxy.traffic.Delay;
import org.geraniumproxy.settings.HostAndPort;
import org.geraniumproxy.settings.NodeSettings;
import org.jboss.logging.Logger;

/** A running node: its servers, its control thread and its graceful stop. */
@Singleton
public final class Node {
    private static final Logger log = Logger.getLogger(Node.class);

    private final NodeSettings settings;
    private final Clock clock;
    private final ControlThread control;
    private final InFlightRequests inFlight;
    private final PrometheusRegistry registry;
    private final NodeResources resources;
    private final NodeServers servers;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private TelemetryEndpoint telemetry;

    @Inject
    Node(
            NodeSettings settings,
            Clock clock,
            ControlThread control,
            InFlightRequests inFlight,
            PrometheusRegistry registry,
            NodeResources resources,
            NodeServers servers) {
        this.settings = settings;
        this.clock = clock;
        this.control = control;
        this.inFlight = inFlight;
        this.registry = registry;
        this.resources = resources;
        this.servers = servers;
    }

    /**
     * Starts a node.
     *
     * @param settings its settings
     * @param clock this VM's clock
     * @return the running node
     * @throws IOException if an address can't be used
     * @throws NodeStartException if the settings can't be used
     */
    public static Node start(NodeSettings settings, Clock clock) throws IOException {
        Node node = DaggerNodeComponent.factory().create(settings, clock).node();
        node.open();
        return node;
    }

    private void open() throws IOException {
        TrafficMetrics.registerState(registry, control, inFlight, clock);
        HostAndPort metrics = settings.metricsAddress();
        telemetry =
                TelemetryEndpoint.start(new InetSocketAddress(metrics.host(), metrics.port()), registry, this::isReady);
        servers.start();
        resources.start();
        control.start();
        log.infof("node: callers are served at %s, peers at %s", settings.callerAddress(), settings.peerAddress());
    }

    /**
     * Tells whether the node takes requests from callers.
     *
     * @return true if its view is current, a configuration is in force and it is not being stopped
     */
    public boolean isReady() {
        return !inFlight.isDraining()
                && control.snapshot().configuration().revision() > 0
                && control.snapshot().isViewCurrent(clock.instant());
    }

    /**
     * Returns the end of the node.
     *
     * @return completes when the node has stopped
     */
    public CompletableFuture<Void> stopped() {
        return stopped.copy();
    }

    /**
     * Stops the node gracefully: announces that it is leaving, refuses new requests as not run, lets running ones
     * finish until the drain timeout, gives loans and connections back, and leaves the roster. Call it once.
     *
     * @return completes when the node has stopped
     */
    public CompletableFuture<Void> stop() {
        log.info("node: stopping");
        GracefulStop stop = new GracefulStop(inFlight, clock, Delay.SYSTEM, settings.drainTimeout());
        return stop.drain(control::drain)
                .thenCompose(ignored -> stop.leave(control::leave))
                .thenRunAsync(this::close)
                .thenCompose(ignored -> stopped());
    }

    private void close() {
        servers.stop();
        control.close();
        resources.close();
        telemetry.close();
        log.info("node: stopped");
        stopped.complete(null);
    }
}
