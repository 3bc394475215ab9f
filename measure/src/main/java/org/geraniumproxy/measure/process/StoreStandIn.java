package org.geraniumproxy.measure.process;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BinaryOperator;

/** Stand-in of the platform's store with leases that expire, and of the cloud API. */
public final class StoreStandIn implements AutoCloseable {
    private static final Duration ANSWER_TIME = Duration.ofMillis(4);

    /** Longest time between two checks for expired leases while a watch waits. */
    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(50);

    private record Lease(long ttlMillis, Instant expiry) {}

    private record Response(int status, JsonObject body) {}

    private final Clock clock;
    private final CloudApi cloudApi;
    private final List<HttpServer> servers = new ArrayList<>();
    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final TreeMap<String, JsonObject> items = new TreeMap<>();
    private final List<JsonObject> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 7000;
    private Optional<Instant> silentSince = Optional.empty();

    /**
     * Serves a store without items.
     *
     * @param clock clock of the run
     * @param port port on the loopback address
     * @param cloudApi answers promotion requests
     * @throws IOException if the port is in use
     */
    public StoreStandIn(Clock clock, int port, CloudApi cloudApi) throws IOException {
        // The JDK's server answers up to 40 ms late without this property.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        this.clock = clock;
        this.cloudApi = cloudApi;
        listen(port, (_, value) -> value);
    }

    /**
     * Serves the same store at a further port.
     *
     * @param port port on the loopback address
     * @param view returns what this port shows as the value of a key under {@code servers/}
     * @throws IOException if the port is in use
     */
    public void listen(int port, BinaryOperator<String> view) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
        server.setExecutor(executor);
        server.createContext("/", exchange -> respond(exchange, view));
        server.start();
        servers.add(server);
    }

    /**
     * Finds the value of a key.
     *
     * @param key key of the item
     * @return value as UTF-8, empty if there is no item
     */
    public synchronized Optional<String> find(String key) {
        return Optional.ofNullable(items.get(key)).map(item -> decode(item));
    }

    /**
     * Writes an item without a lease.
     *
     * @param key key of the item
     * @param text value, stored as UTF-8
     */
    public synchronized void put(String key, String text) {
        put(key, encode(text), 0);
    }

    /**
     * Removes an item if it exists.
     *
     * @param key key of the item
     */
    public synchronized void remove(String key) {
        delete(key);
    }

    /**
     * Withholds all answers of the store until {@link #endSilence}. Calls that arrive meanwhile are carried out then.
     */
    public synchronized void beginSilence() {
        silentSince = Optional.of(clock.instant());
    }

    /** Answers again. Leases are extended by the length of the silence. */
    public synchronized void endSilence() {
        silentSince.map(since -> Duration.between(since, clock.instant())).ifPresent(silence -> {
            leases.replaceAll(
                    (_, lease) -> new Lease(lease.ttlMillis(), lease.expiry().plus(silence)));
        });
        silentSince = Optional.empty();
        notifyAll();
    }

    private synchronized void awaitEndOfSilence() throws InterruptedException {
        while (silentSince.isPresent()) {
            wait();
        }
    }

    private void put(String key, String value, long lease) {
        revision++;
        JsonObject item = new JsonObject();
        item.addProperty("key", key);
        item.addProperty("value", value);
        item.addProperty("revision", revision);
        item.addProperty(
                "createdRev",
                items.containsKey(key) ? items.get(key).get("createdRev").getAsLong() : revision);
        item.addProperty("leaseId", lease);
        items.put(key, item);
        events.add(item);
        notifyAll();
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            revision++;
            JsonObject event = new JsonObject();
            event.addProperty("key", key);
            event.addProperty("revision", revision);
            event.addProperty("compacted", true);
            events.add(event);
            notifyAll();
        }
    }

    private void respond(HttpExchange exchange, BinaryOperator<String> view) throws IOException {
        try (exchange) {
            String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            Thread.sleep(ANSWER_TIME);
            String path = exchange.getRequestURI().getPath();
            Response response = path.equals("/failover")
                    ? new Response(requestPromotion(exchange, body), new JsonObject())
                    : answer(path.replaceFirst("^/geraniumproxy/", ""), query(exchange), body);
            if (!path.equals("/failover")) {
                awaitEndOfSilence();
            }
            byte[] bytes = show(response.body(), view).toString().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(response.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Replaces the values of the databases' entries in a response. */
    private static JsonObject show(JsonObject body, BinaryOperator<String> view) {
        JsonObject shown = body.deepCopy();
        for (String name : List.of("items", "events")) {
            list(shown, name).forEach(item -> show(view, item.getAsJsonObject()));
        }
        show(view, shown);
        return shown;
    }

    private static void show(BinaryOperator<String> view, JsonObject item) {
        if (item.has("value") && item.get("key").getAsString().startsWith("servers/")) {
            item.addProperty("value", encode(view.apply(item.get("key").getAsString(), decode(item))));
        }
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String decode(JsonObject item) {
        return new String(Base64.getDecoder().decode(item.get("value").getAsString()), StandardCharsets.UTF_8);
    }

    private int requestPromotion(HttpExchange exchange, String body) throws InterruptedException {
        JsonObject request = JsonParser.parseString(body).getAsJsonObject();
        return cloudApi.requestPromotion(
                request.get("service").getAsString(),
                request.get("id").getAsString(),
                exchange.getRequestHeaders().getFirst("X-Lease-Holder"),
                Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fencing-Token")));
    }

    private synchronized Response answer(String call, Map<String, String> query, String body)
            throws InterruptedException {
        awaitEndOfSilence();
        expireLeases();
        String[] parts = call.split("/", -1);
        return switch (parts[0]) {
            case "kv-key" -> item(query.get("key"));
            case "kv-range" -> range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
            case "kv-watch" ->
                watch(
                        query.get("prefix"),
                        Long.parseLong(query.get("after")),
                        Duration.ofMillis(Long.parseLong(query.get("waitMs"))));
            case "kv-txn" -> write(JsonParser.parseString(body).getAsJsonObject());
            case "kv-lease" ->
                grant(
                        ++lastLease,
                        JsonParser.parseString(body)
                                .getAsJsonObject()
                                .get("ttlMs")
                                .getAsLong());
            case "kv-keep" -> {
                Lease lease = leases.get(Long.parseLong(parts[1]));
                yield lease == null ? notFound() : grant(Long.parseLong(parts[1]), lease.ttlMillis());
            }
            case "kv-lease-end" ->
                endLease(Long.parseLong(parts[1])) ? new Response(200, new JsonObject()) : notFound();
            default -> notFound();
        };
    }

    private static Response notFound() {
        return new Response(404, new JsonObject());
    }

    private Response item(String key) {
        if (!items.containsKey(key)) {
            return new Response(404, atRevision(new JsonObject()));
        }
        return new Response(200, atRevision(items.get(key).deepCopy()));
    }

    private Response range(String prefix, String after) {
        JsonArray found = new JsonArray();
        items.forEach((key, item) -> {
            if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                found.add(item);
            }
        });
        JsonObject answer = new JsonObject();
        answer.add("items", found);
        answer.addProperty("hasMore", false);
        return new Response(200, atRevision(answer));
    }

    private Response watch(String prefix, long after, Duration wait) throws InterruptedException {
        Instant end = clock.instant().plus(wait);
        while (true) {
            JsonArray found = new JsonArray();
            events.stream()
                    .filter(event -> event.get("revision").getAsLong() > after)
                    .filter(event -> event.get("key").getAsString().startsWith(prefix))
                    .forEach(found::add);
            if (!found.isEmpty() || !clock.instant().isBefore(end)) {
                JsonObject answer = new JsonObject();
                answer.add("events", found);
                return new Response(200, atRevision(answer));
            }
            wait(EXPIRY_INTERVAL.toMillis());
            expireLeases();
        }
    }

    private Response write(JsonObject body) {
        JsonArray present = new JsonArray();
        boolean holds = true;
        for (JsonElement row : list(body, "expect")) {
            JsonObject item = items.get(row.getAsJsonObject().get("key").getAsString());
            long actual = item == null ? 0 : item.get("revision").getAsLong();
            holds &= actual == row.getAsJsonObject().get("revision").getAsLong();
            if (item != null) {
                present.add(item);
            }
        }
        if (!holds) {
            JsonObject answer = new JsonObject();
            answer.add("items", present);
            return new Response(412, answer);
        }
        for (JsonElement put : list(body, "puts")) {
            long lease = lease(put.getAsJsonObject());
            if (lease != 0 && !leases.containsKey(lease)) {
                return notFound();
            }
        }
        for (JsonElement element : list(body, "puts")) {
            JsonObject put = element.getAsJsonObject();
            put(put.get("key").getAsString(), put.get("value").getAsString(), lease(put));
        }
        list(body, "deletes").forEach(key -> delete(key.getAsString()));
        JsonObject answer = new JsonObject();
        answer.addProperty("revision", revision);
        return new Response(200, answer);
    }

    private Response grant(long id, long ttlMillis) {
        leases.put(id, new Lease(ttlMillis, clock.instant().plusMillis(ttlMillis)));
        JsonObject answer = new JsonObject();
        answer.addProperty("leaseId", id);
        answer.addProperty("ttlMs", ttlMillis);
        return new Response(200, answer);
    }

    private void expireLeases() {
        if (silentSince.isPresent()) {
            return;
        }
        Instant now = clock.instant();
        List<Long> expired = leases.entrySet().stream()
                .filter(lease -> !lease.getValue().expiry().isAfter(now))
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::endLease);
    }

    private boolean endLease(long id) {
        if (leases.remove(id) == null) {
            return false;
        }
        List<String> bound = items.values().stream()
                .filter(item -> lease(item) == id)
                .map(item -> item.get("key").getAsString())
                .toList();
        bound.forEach(this::delete);
        return true;
    }

    private JsonObject atRevision(JsonObject answer) {
        answer.addProperty("atRev", revision);
        return answer;
    }

    private static long lease(JsonObject item) {
        return item.has("leaseId") ? item.get("leaseId").getAsLong() : 0;
    }

    private static JsonArray list(JsonObject body, String name) {
        return body.has(name) ? body.getAsJsonArray(name) : new JsonArray();
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String field : text == null ? new String[0] : text.split("&", -1)) {
            String[] parts = field.split("=", 2);
            query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    @Override
    public void close() {
        servers.forEach(server -> server.stop(0));
        executor.shutdownNow();
    }
}
