package org.geraniumproxy.proxy.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.Unit;
import java.time.Clock;
import java.time.Duration;
import java.util.Locale;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.proxy.control.SnapshotSource;

/** Counters of the traffic. Every label has a fixed set of values; no label names a customer, key or statement. */
public final class TrafficMetrics {
    private static final double[] SECONDS = {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10};

    private final Counter outcomes;
    private final Counter reads;
    private final Counter retries;
    private final Histogram queueTime;
    private final Histogram requestTime;

    /**
     * Registers the metrics.
     *
     * @param registry the registry that the endpoint publishes
     */
    public TrafficMetrics(PrometheusRegistry registry) {
        outcomes = Counter.builder()
                .name("geraniumproxy_requests_total")
                .help("Requests of callers by how they ended.")
                .labelNames("outcome")
                .register(registry);
        reads = Counter.builder()
                .name("geraniumproxy_reads_total")
                .help("Reads that were answered, by the kind of database.")
                .labelNames("served_by")
                .register(registry);
        retries = Counter.builder()
                .name("geraniumproxy_retries_total")
                .help("Requests that were tried again.")
                .register(registry);
        queueTime = Histogram.builder()
                .name("geraniumproxy_queue_seconds")
                .help("Time that requests waited for a slot.")
                .unit(Unit.SECONDS)
                .classicOnly()
                .classicUpperBounds(SECONDS)
                .register(registry);
        requestTime = Histogram.builder()
                .name("geraniumproxy_request_seconds")
                .help("Time from the arrival of a request to its reply.")
                .unit(Unit.SECONDS)
                .classicOnly()
                .classicUpperBounds(SECONDS)
                .register(registry);
    }

    /**
     * Registers the metrics of the control state.
     *
     * @param registry the registry that the endpoint publishes
     * @param snapshots gives the control state
     * @param requestsInFlight the requests in flight
     * @param clock measures the age of the view
     */
    public static void registerState(
            PrometheusRegistry registry, SnapshotSource snapshots, InFlightRequests requestsInFlight, Clock clock) {
        GaugeWithCallback.builder()
                .name("geraniumproxy_view_age_seconds")
                .help("Time since the view of the configuration was proven current; infinite before the first proof.")
                .unit(Unit.SECONDS)
                .callback(gauge -> gauge.call(viewAgeSeconds(snapshots.snapshot(), clock)))
                .register(registry);
        GaugeWithCallback.builder()
                .name("geraniumproxy_draining")
                .help("1 while the process is being stopped.")
                .callback(gauge -> gauge.call(requestsInFlight.isDraining() ? 1 : 0))
                .register(registry);
        GaugeWithCallback.builder()
                .name("geraniumproxy_requests_in_flight")
                .help(
                        "Requests and transactions that have not ended, counted at the entry proxy and at the coordinator.")
                .callback(gauge -> gauge.call(requestsInFlight.count()))
                .register(registry);
    }

    /**
     * Counts the end of a caller's request.
     *
     * @param outcome how it ended
     * @param duration time since it arrived
     */
    public void ended(Outcome outcome, Duration duration) {
        outcomes.labelValues(label(outcome)).inc();
        requestTime.observe(seconds(duration));
    }

    /**
     * Counts an answered read.
     *
     * @param replica whether a replica answered
     */
    public void readServed(boolean replica) {
        reads.labelValues(replica ? "replica" : "primary").inc();
    }

    /** Counts a further try of a request. */
    public void retried() {
        retries.inc();
    }

    /**
     * Notes a wait for a slot.
     *
     * @param duration length of the wait
     */
    public void queued(Duration duration) {
        queueTime.observe(seconds(duration));
    }

    private static String label(Outcome outcome) {
        return switch (outcome) {
            case Outcome.Answered _ -> "answered";
            case Outcome.Unknown _ -> "unknown";
            case Outcome.NotRun notRun -> "not_run_" + notRun.reason().name().toLowerCase(Locale.ROOT);
        };
    }

    private static double viewAgeSeconds(ControlSnapshot snapshot, Clock clock) {
        return snapshot.viewProvenAt()
                .map(provenAt -> seconds(Duration.between(provenAt, clock.instant())))
                .orElse(Double.POSITIVE_INFINITY);
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
