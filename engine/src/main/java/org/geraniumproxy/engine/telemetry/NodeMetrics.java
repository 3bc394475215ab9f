package org.geraniumproxy.engine.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.Locale;
import org.geraniumproxy.core.caller.ErrorCode;

/** Counters and histograms of a node, for operators. */
public final class NodeMetrics {
    /** Bounds in seconds round the target latencies of routes, which are from 0.4 s to 1 s. */
    private static final double[] LATENCY_BOUNDS = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter statements = Counter.builder()
            .name("geraniumproxy_statements")
            .help("Statements answered, by outcome.")
            .labelNames("outcome")
            .register(registry);
    private final Histogram latency = Histogram.builder()
            .name("geraniumproxy_database_seconds")
            .help("Time from sending a statement to a database to its answer.")
            .classicOnly()
            .classicUpperBounds(LATENCY_BOUNDS)
            .register(registry);
    private final Counter placements = Counter.builder()
            .name("geraniumproxy_placements")
            .help("Statements sent to a database, by the role for which it was chosen.")
            .labelNames("role")
            .register(registry);
    private final Counter openings = Counter.builder()
            .name("geraniumproxy_connection_openings")
            .help("Connections to databases, by how the opening ended.")
            .labelNames("result")
            .register(registry);
    private final Counter silences = Counter.builder()
            .name("geraniumproxy_database_silences")
            .help("Statements and probes that a database did not answer.")
            .register(registry);
    private final Gauge sessions = Gauge.builder()
            .name("geraniumproxy_sessions")
            .help("Connected callers.")
            .register(registry);
    private final Gauge configuration = Gauge.builder()
            .name("geraniumproxy_configuration_version")
            .help("Version of the configuration in force.")
            .register(registry);

    /** Counts an answered statement. */
    public void answered() {
        statements.labelValues("completed").inc();
    }

    /**
     * Counts a statement that failed.
     *
     * @param code why
     */
    public void failed(ErrorCode code) {
        statements.labelValues(code.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Records the answer of a database.
     *
     * @param took time from sending to the answer
     */
    public void databaseAnswered(Duration took) {
        latency.observe(took.toNanos() / NANOSECONDS_PER_SECOND);
    }

    /**
     * Counts a statement that was placed.
     *
     * @param leader whether the database was chosen as the primary
     */
    public void placed(boolean leader) {
        placements.labelValues(leader ? "primary" : "replica").inc();
    }

    /**
     * Counts the opening of a connection.
     *
     * @param opened whether it succeeded
     */
    public void opening(boolean opened) {
        openings.labelValues(opened ? "opened" : "failed").inc();
    }

    /** Counts an answer of a database that did not come. */
    public void databaseSilent() {
        silences.inc();
    }

    /**
     * Sets the present state.
     *
     * @param connected connected callers
     * @param version version of the configuration in force
     */
    public void state(int connected, long version) {
        sessions.set(connected);
        configuration.set((double) version);
    }

    /**
     * Writes all metrics as text.
     *
     * @param output where to
     * @throws IOException if the output fails
     */
    public void write(OutputStream output) throws IOException {
        PrometheusTextFormatWriter.create().write(output, registry.scrape());
    }
}
