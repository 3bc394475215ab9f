package org.geraniumproxy.measure.promotion;

import com.google.gson.JsonObject;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.measure.process.StoreStandIn;

/**
 * Writes the entries of the databases into the store: at once when one changes, and as a heartbeat otherwise. An entry
 * is removed when its database has left, or after three intervals without a heartbeat.
 */
final class Registrar {
    /** Stands for the address in the entries, which differs between the nodes. */
    static final String ADDRESS = "ADDRESS";

    private static final Duration HEARTBEAT = Duration.ofMillis(1200);
    private static final Duration EXPIRY = HEARTBEAT.multipliedBy(3);
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(20);

    private record Entry(DatabaseState state, Instant writtenAt, long number) {
        /** Returns whether the store shows anything else than the state says. The log isn't part of an entry. */
        boolean differsFrom(DatabaseState newest) {
            return state.primary() != newest.primary()
                    || state.draining() != newest.draining()
                    || state.born() != newest.born();
        }
    }

    private final ReplicationGroup group;
    private final StoreStandIn store;
    private final Clock clock;
    private final Set<String> databases = new HashSet<>();
    private final Map<String, Entry> entries = new HashMap<>();
    private final Set<String> cutOff = new HashSet<>();
    private boolean silent;

    Registrar(ReplicationGroup group, StoreStandIn store, Clock clock) {
        this.group = group;
        this.store = store;
        this.clock = clock;
    }

    synchronized void add(String id) {
        databases.add(id);
    }

    /** Sets whether what a database writes doesn't reach the store. */
    synchronized void setCutOff(String id, boolean value) {
        if (value) {
            cutOff.add(id);
        } else {
            cutOff.remove(id);
        }
    }

    /** Sets whether the store takes no writes and removes nothing. Entries don't age meanwhile. */
    synchronized void setSilent(boolean value) {
        silent = value;
        entries.replaceAll((_, entry) -> new Entry(entry.state(), clock.instant(), entry.number()));
    }

    /** Writes entries until the thread is interrupted. */
    void run() {
        try {
            while (true) {
                write(group.state());
                Thread.sleep(CHECK_INTERVAL);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void write(GroupState state) {
        if (silent) {
            return;
        }
        Instant now = clock.instant();
        for (String id : Set.copyOf(databases)) {
            DatabaseState newest = state.find(id);
            Entry entry = entries.get(id);
            boolean writes = newest != null && newest.running() && !cutOff.contains(id);
            if (writes
                    && (entry == null
                            || entry.differsFrom(newest)
                            || !now.isBefore(entry.writtenAt().plus(HEARTBEAT)))) {
                long number = entry == null ? 1 : entry.number() + 1;
                entries.put(id, new Entry(newest, now, number));
                store.put("servers/" + id, encode(newest, number));
            } else if (entry != null
                    && (newest == null || !now.isBefore(entry.writtenAt().plus(EXPIRY)))) {
                entries.remove(id);
                store.remove("servers/" + id);
            }
            if (newest == null) {
                databases.remove(id);
            }
        }
    }

    private static String encode(DatabaseState state, long number) {
        JsonObject entry = new JsonObject();
        entry.addProperty("service", ReplicationGroup.SERVICE);
        entry.addProperty("address", ADDRESS);
        entry.addProperty("zone", "lima-a");
        entry.addProperty("version", "v1");
        entry.addProperty("capacity", 48);
        entry.addProperty("state", state.draining() ? "draining" : "ready");
        entry.addProperty("warmupLeftMs", 0);
        entry.addProperty("dbRole", state.primary() ? "primary" : "replica");
        entry.addProperty("seqNo", number);
        entry.addProperty("born", state.born());
        return entry.toString();
    }
}
