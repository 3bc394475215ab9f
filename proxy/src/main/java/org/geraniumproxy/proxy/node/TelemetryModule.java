package org.geraniumproxy.proxy.node;

import dagger.Module;
import dagger.Provides;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import javax.inject.Singleton;
import org.geraniumproxy.proxy.telemetry.InFlightRequests;
import org.geraniumproxy.proxy.telemetry.Tracing;
import org.geraniumproxy.proxy.telemetry.TrafficMetrics;
import org.geraniumproxy.settings.NodeSettings;

/** Metrics, traces and the count of requests in flight. */
@Module
final class TelemetryModule {
    /** Share of the requests that are traced; a trace of every request would cost more than the request. */
    private static final double SAMPLED_SHARE = 0.01;

    private TelemetryModule() {}

    @Provides
    @Singleton
    static PrometheusRegistry registry() {
        return new PrometheusRegistry();
    }

    @Provides
    @Singleton
    static TrafficMetrics metrics(PrometheusRegistry registry) {
        return new TrafficMetrics(registry);
    }

    @Provides
    @Singleton
    static InFlightRequests inFlight() {
        return new InFlightRequests();
    }

    @Provides
    @Singleton
    static Tracing tracing(NodeSettings settings) {
        return settings.otlpEndpoint()
                .map(endpoint -> Tracing.exporting(endpoint, SAMPLED_SHARE, settings.name()))
                .orElseGet(Tracing::disabled);
    }
}
