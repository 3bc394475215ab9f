package org.geraniumproxy.proxy.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.outcome.Outcome;
import org.junit.jupiter.api.Test;

/** Guards against a process that is reported ready while it drains, and against metrics that are not published. */
class TelemetryEndpoint_answer_Test {
    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final InFlightRequests requests = new InFlightRequests();

    @Test
    void should_be_live_but_not_ready_when_draining() throws Exception {
        try (TelemetryEndpoint endpoint = start()) {
            // given
            int readyBefore = get(endpoint, "/ready").statusCode();

            // when
            requests.drain(Instant.parse("2026-01-01T00:00:30Z"));

            // then
            assertThat(readyBefore, equalTo(200));
            assertThat(get(endpoint, "/ready").statusCode(), equalTo(503));
            assertThat(get(endpoint, "/live").statusCode(), equalTo(200));
        }
    }

    @Test
    void should_publish_outcomes_when_requests_have_ended() throws Exception {
        try (TelemetryEndpoint endpoint = start()) {
            // given
            TrafficMetrics metrics = new TrafficMetrics(registry);
            TrafficMetrics.registerState(
                    registry, () -> ControlSnapshot.initial(VmName.of("vm-1")), requests, Clock.systemUTC());

            // when
            metrics.ended(Outcome.unknown("lost"), Duration.ofMillis(3));
            metrics.readServed(true);

            // then
            String text = get(endpoint, "/metrics").body();
            assertThat(text, containsString("geraniumproxy_requests_total{outcome=\"unknown\"} 1.0"));
            assertThat(text, containsString("geraniumproxy_reads_total{served_by=\"replica\"} 1.0"));
            assertThat(text, containsString("geraniumproxy_view_age_seconds +Inf"));
        }
    }

    private TelemetryEndpoint start() throws IOException {
        return TelemetryEndpoint.start(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), registry, () -> !requests.isDraining());
    }

    private static HttpResponse<String> get(TelemetryEndpoint endpoint, String path) throws Exception {
        try (HttpClient client = HttpClient.newHttpClient()) {
            URI uri = URI.create("http://127.0.0.1:" + endpoint.address().getPort() + path);
            return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
        }
    }
}
