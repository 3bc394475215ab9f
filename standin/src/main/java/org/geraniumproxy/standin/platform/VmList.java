package org.geraniumproxy.standin.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/** The platform's list of VMs and backend servers, which shows changes late. Confined to one thread. */
final class VmList {
    private record Change(Instant shownAt, String name, boolean leaving) {}

    private final Duration lag;
    private final Map<String, Boolean> shown = new TreeMap<>();
    private final Deque<Change> pending = new ArrayDeque<>();

    VmList(Duration lag) {
        this.lag = lag;
    }

    /** Adds a machine that has been there all along. */
    void add(String name) {
        shown.put(name, false);
    }

    /** Marks a machine; the list shows it after the lag. */
    void mark(String name, boolean leaving, Instant now) {
        pending.add(new Change(now.plus(lag), name, leaving));
    }

    /** Returns whether each machine is shown as leaving. */
    Map<String, Boolean> shownAt(Instant now) {
        while (!pending.isEmpty() && !pending.getFirst().shownAt().isAfter(now)) {
            Change change = pending.removeFirst();
            shown.put(change.name(), change.leaving());
        }
        return Map.copyOf(shown);
    }
}
