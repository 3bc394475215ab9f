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
import java.util.Map;
import org.geraniumproxy.core.balance.EjectionChange;
import org.geraniumproxy.core.caller.ErrorCode;
import org.geraniumproxy.core.caller.KeyMoveOutcome;
import org.geraniumproxy.core.directory.DatabaseAvailability;
import org.geraniumproxy.core.limit.TokenSource;

/** Prometheus metrics of a node. */
public final class NodeMetrics {
    /** Bucket bounds around the target latencies of routes, which are between 0.4 s and 1 s. */
    private static final double[] LATENCY_BUCKETS_SECONDS = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2};

    /** Bucket bounds around the interval of the reports, 0.5 s, up to the age from which they are ignored. */
    private static final double[] REPORT_AGE_BUCKETS_SECONDS = {0.1, 0.25, 0.5, 0.75, 1, 1.5, 3};

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter statements = Counter.builder()
            .name("geraniumproxy_statements")
            .help("Statements answered, by outcome.")
            .labelNames("outcome")
            .register(registry);
    private final Histogram databaseLatency = Histogram.builder()
            .name("geraniumproxy_database_seconds")
            .help("Time from sending a statement to a database to its answer.")
            .classicOnly()
            .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
            .register(registry);
    private final Counter placements = Counter.builder()
            .name("geraniumproxy_placements")
            .help("Statements sent to a database, by the role for which it was chosen.")
            .labelNames("role")
            .register(registry);
    private final Counter connectionOpenings = Counter.builder()
            .name("geraniumproxy_connection_openings")
            .help("Connections to databases, by how the opening ended.")
            .labelNames("result")
            .register(registry);
    private final Counter unansweredRequests = Counter.builder()
            .name("geraniumproxy_database_silences")
            .help("Statements and probes that a database did not answer.")
            .register(registry);
    private final Counter operationsOverRate = Counter.builder()
            .name("geraniumproxy_operations_over_rate")
            .help("Operations refused for want of a rate token, by where the token should have come from.")
            .labelNames("source")
            .register(registry);
    private final Counter keyMoves = Counter.builder()
            .name("geraniumproxy_key_moves")
            .help("Operations whose key moved to another customer before their next statement, by what became of them.")
            .labelNames("outcome")
            .register(registry);
    private final Counter sharedConnections = Counter.builder()
            .name("geraniumproxy_shared_connections")
            .help("Events in the use of database connections that another VM owns.")
            .labelNames("event")
            .register(registry);
    private final Counter choices = Counter.builder()
            .name("geraniumproxy_balance_choices")
            .help("Databases chosen for a statement, by the load figures that were known of them.")
            .labelNames("figures")
            .register(registry);
    private final Counter ejections = Counter.builder()
            .name("geraniumproxy_balance_ejections")
            .help("Changes of the share of reads of databases that were ejected, by kind.")
            .labelNames("change")
            .register(registry);
    private final Histogram reportAge = Histogram.builder()
            .name("geraniumproxy_balance_report_age_seconds")
            .help("Age of the load reports with which databases were chosen.")
            .classicOnly()
            .classicUpperBounds(REPORT_AGE_BUCKETS_SECONDS)
            .register(registry);
    private final Gauge lentChannels = Gauge.builder()
            .name("geraniumproxy_lent_channels")
            .help("Channels of other VMs that wait for a database connection of this one or use it.")
            .register(registry);
    private final Counter configurationRequests = Counter.builder()
            .name("geraniumproxy_configuration_requests")
            .help("Requests to other VMs for their configuration, by how they ended.")
            .labelNames("result")
            .register(registry);
    private final Gauge sessions = Gauge.builder()
            .name("geraniumproxy_sessions")
            .help("Connected callers.")
            .register(registry);
    private final Gauge configurationVersion = Gauge.builder()
            .name("geraniumproxy_configuration_version")
            .help("Version of the configuration in force.")
            .register(registry);

    private final Gauge heldBytes = Gauge.builder()
            .name("geraniumproxy_held_bytes")
            .help("Bytes that connections of callers and databases make the process hold.")
            .register(registry);
    private final Gauge pausedConnections = Gauge.builder()
            .name("geraniumproxy_paused_connections")
            .help("Connections that are not read because of the memory that they hold.")
            .register(registry);
    private final Counter closedConnections = Counter.builder()
            .name("geraniumproxy_connections_closed")
            .help("Connections that this VM closed to protect itself, by reason.")
            .labelNames("reason")
            .register(registry);
    private final Counter droppedPeerMessages = Counter.builder()
            .name("geraniumproxy_peer_messages_dropped")
            .help("Datagrams that were dropped because too many were waiting.")
            .register(registry);

    private final Gauge storeEra = Gauge.builder()
            .name("geraniumproxy_store_era")
            .help("Number of times that the store was restored from an earlier copy.")
            .register(registry);
    private final Counter storeLoads = Counter.builder()
            .name("geraniumproxy_store_loads")
            .help("Times that the whole content of the store was read.")
            .register(registry);

    private final Gauge evacuatedFailureDomains = Gauge.builder()
            .name("geraniumproxy_evacuated_failure_domains")
            .help("Failure domains that the operator evacuates.")
            .register(registry);
    private final Gauge databasesOutOfUse = Gauge.builder()
            .name("geraniumproxy_databases_out_of_use")
            .help("Known databases that get no statements, by the reason.")
            .labelNames("reason")
            .register(registry);

    /** Counts a statement that succeeded. */
    public void statementCompleted() {
        statements.labelValues("completed").inc();
    }

    /**
     * Counts a statement that failed.
     *
     * @param code error code, which becomes the outcome label
     */
    public void statementFailed(ErrorCode code) {
        statements.labelValues(code.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Records the latency of a reply from a database.
     *
     * @param latency time from sending a statement to its reply
     */
    public void databaseAnswered(Duration latency) {
        databaseLatency.observe(latency.toNanos() / NANOSECONDS_PER_SECOND);
    }

    /**
     * Counts a statement that was sent to a database.
     *
     * @param onPrimary true if the database was chosen as the primary, false if as a replica
     */
    public void statementPlaced(boolean onPrimary) {
        placements.labelValues(onPrimary ? "primary" : "replica").inc();
    }

    /**
     * Counts an attempt to open a connection to a database.
     *
     * @param succeeded whether the connection was opened
     */
    public void connectionOpening(boolean succeeded) {
        connectionOpenings.labelValues(succeeded ? "opened" : "failed").inc();
    }

    /** Counts a statement or probe that a database did not answer. */
    public void databaseUnresponsive() {
        unansweredRequests.inc();
    }

    /**
     * Counts an operation that was refused because its customer is over its rate.
     *
     * @param source where the lack of tokens is known from
     */
    public void operationOverRate(TokenSource source) {
        operationsOverRate.labelValues(source.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Counts an operation whose key moved to another customer.
     *
     * @param outcome what became of the operation, which becomes the label
     */
    public void keyMoved(KeyMoveOutcome outcome) {
        keyMoves.labelValues(outcome.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Counts an event in the use of database connections that another VM owns.
     *
     * @param event the event, which becomes the label
     */
    public void sharedConnection(SharedConnectionEvent event) {
        sharedConnections.labelValues(event.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Counts the choice of a database for a statement.
     *
     * @param reportKnown whether the load by other VMs was known
     */
    public void databaseChosen(boolean reportKnown) {
        choices.labelValues(reportKnown ? "reported" : "own").inc();
    }

    /**
     * Records the age of the report of a chosen database.
     *
     * @param age age of its figures
     */
    public void loadReportUsed(Duration age) {
        reportAge.observe(age.toNanos() / NANOSECONDS_PER_SECOND);
    }

    /**
     * Counts an ejection or re-admission.
     *
     * @param kind what changed
     */
    public void ejectionChanged(EjectionChange.Kind kind) {
        ejections.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
    }

    /**
     * Updates the number of channels of other VMs.
     *
     * @param count channels that wait for a connection or hold one
     */
    public void lentChannels(int count) {
        lentChannels.set(count);
    }

    /**
     * Updates the gauges.
     *
     * @param sessionCount number of connected callers
     * @param version version of the current configuration
     */
    public void updateState(int sessionCount, long version) {
        sessions.set(sessionCount);
        configurationVersion.set((double) version);
    }

    /**
     * Updates the gauges of the databases.
     *
     * @param evacuated number of evacuated failure domains
     * @param outOfUse number of databases that get no statements, by their availability
     */
    public void updateDatabases(int evacuated, Map<DatabaseAvailability, Long> outOfUse) {
        evacuatedFailureDomains.set(evacuated);
        for (DatabaseAvailability reason : DatabaseAvailability.values()) {
            if (reason != DatabaseAvailability.USED) {
                databasesOutOfUse
                        .labelValues(reason.name().toLowerCase(Locale.ROOT))
                        .set(outOfUse.getOrDefault(reason, 0L));
            }
        }
    }

    /**
     * Updates the gauges of the memory that connections hold.
     *
     * @param bytes bytes held
     * @param paused number of connections that are not read
     */
    public void updateMemory(long bytes, int paused) {
        heldBytes.set((double) bytes);
        pausedConnections.set(paused);
    }

    /**
     * Counts a connection that was closed to protect the process.
     *
     * @param reason reason, which becomes the label
     */
    public void connectionClosed(String reason) {
        closedConnections.labelValues(reason).inc();
    }

    /** Counts a datagram that was dropped because too many were waiting. */
    public void peerMessageDropped() {
        droppedPeerMessages.inc();
    }

    /**
     * Updates the era of the store.
     *
     * @param era number of times that the store was restored from an earlier copy
     */
    public void storeEra(long era) {
        storeEra.set((double) era);
    }

    /**
     * Counts a request to another VM for its configuration. May be called on any thread.
     *
     * @param answered whether a configuration arrived
     */
    public void configurationRequested(boolean answered) {
        configurationRequests.labelValues(answered ? "answered" : "failed").inc();
    }

    /** Counts a complete read of the store. */
    public void storeLoaded() {
        storeLoads.inc();
    }

    /**
     * Writes all metrics in the Prometheus text format.
     *
     * @param output receives the text
     * @throws IOException if writing fails
     */
    public void write(OutputStream output) throws IOException {
        PrometheusTextFormatWriter.create().write(output, registry.scrape());
    }
}
