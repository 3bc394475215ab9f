package org.geraniumproxy.proxy.telemetry;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.prometheus.metrics.exporter.httpserver.MetricsHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;

/** Publishes {@code /metrics}, {@code /live} and {@code /ready} over HTTP. */
public final class TelemetryEndpoint implements AutoCloseable {
    private static final int HTTP_OK = 200;
    private static final int HTTP_UNAVAILABLE = 503;

    private final HttpServer server;
    private final ExecutorService executor;

    private TelemetryEndpoint(HttpServer server, ExecutorService executor) {
        this.server = server;
        this.executor = executor;
    }

    /**
     * Starts the endpoint.
     *
     * @param address address to listen at; port 0 takes a free port
     * @param registry the metrics to publish
     * @param ready whether the process takes requests; false before its first view and while draining
     * @return the running endpoint
     * @throws IOException if the address can't be used
     */
    public static TelemetryEndpoint start(InetSocketAddress address, PrometheusRegistry registry, BooleanSupplier ready)
            throws IOException {
        HttpServer server = HttpServer.create(address, 0);
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        server.setExecutor(executor);
        server.createContext("/metrics", new MetricsHandler(registry));
        server.createContext("/live", exchange -> answer(exchange, true, "live"));
        server.createContext("/ready", exchange -> answer(exchange, ready.getAsBoolean(), "ready"));
        server.start();
        return new TelemetryEndpoint(server, executor);
    }

    /**
     * Returns the address that the endpoint listens at.
     *
     * @return the address
     */
    public InetSocketAddress address() {
        return server.getAddress();
    }

    /** Stops the endpoint. */
    @Override
    public void close() {
        server.stop(0);
        executor.shutdown();
    }

    private static void answer(HttpExchange exchange, boolean positive, String word) throws IOException {
        byte[] body = ((positive ? word : "not " + word) + "\n").getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "text/plain; charset=utf-8");
        exchange.sendResponseHeaders(positive ? HTTP_OK : HTTP_UNAVAILABLE, body.length);
        try (exchange) {
            exchange.getResponseBody().write(body);
        }
    }
}
