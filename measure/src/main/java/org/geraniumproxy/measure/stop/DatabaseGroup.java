package org.geraniumproxy.measure.stop;

import com.google.gson.JsonObject;
import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import org.geraniumproxy.measure.process.PortAllocator;
import org.geraniumproxy.measure.process.StoreStandIn;

/** Stand-in of a service of one primary and two replicas, which apply each commit a few milliseconds later. */
final class DatabaseGroup implements AutoCloseable {
    static final String SERVICE = "ledger1";

    /** Statements that a database runs at a time; above what the clients of a run ask for. */
    static final int SLOTS = 48;

    private static final long TERM = 3;
    private static final Duration REPLICATION_DELAY = Duration.ofMillis(8);

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicLong committed = new AtomicLong(1000);
    private final AtomicLong applied = new AtomicLong(1000);
    private final List<DatabaseStandIn> databases = new ArrayList<>();

    DatabaseGroup(Clock clock, RunJournal journal, PortAllocator ports) throws IOException {
        for (String id : List.of("i-1a", "i-9b", "i-5c")) {
            databases.add(
                    new DatabaseStandIn(id, databases.isEmpty(), this, ports.allocate(), clock, journal, executor));
        }
    }

    /** Registers the databases in the store. */
    void register(StoreStandIn store) {
        for (DatabaseStandIn database : databases) {
            JsonObject entry = new JsonObject();
            entry.addProperty("service", SERVICE);
            entry.addProperty("address", "127.0.0.1:" + database.port());
            entry.addProperty("zone", "lima-a");
            entry.addProperty("version", "v1");
            entry.addProperty("capacity", SLOTS);
            entry.addProperty("state", "ready");
            entry.addProperty("warmupLeftMs", 0);
            entry.addProperty("dbRole", database.isPrimary() ? "primary" : "replica");
            entry.addProperty("seqNo", 1);
            entry.addProperty("born", 1);
            store.put("servers/" + database.id(), entry.toString());
        }
    }

    void commit() {
        long number = committed.incrementAndGet();
        executor.execute(() -> {
            try {
                Thread.sleep(REPLICATION_DELAY);
                applied.accumulateAndGet(number, Math::max);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    String position(boolean primary) {
        return TERM + "." + (primary ? committed : applied).get();
    }

    boolean holds(boolean primary, String position) {
        String[] parts = position.split("\\.", -1);
        return Long.parseLong(parts[0]) < TERM || Long.parseLong(parts[1]) <= (primary ? committed : applied).get();
    }

    @Override
    public void close() throws IOException {
        for (DatabaseStandIn database : databases) {
            database.close();
        }
        executor.shutdownNow();
    }
}
