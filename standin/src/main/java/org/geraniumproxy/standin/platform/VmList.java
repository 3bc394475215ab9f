package org.geraniumproxy.standin.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/** The platform's list of VMs and backend servers, which shows changes late. Confined to one thread. */
final class VmList {
    private record Change(Instant visibleAt, String name, boolean leaving) {}

    private final Duration lag;
    private final Map<String, Boolean> visible = new TreeMap<>();
    private final Deque<Change> pendingChanges = new ArrayDeque<>();

    VmList(Duration lag) {
        this.lag = lag;
    }

    /** Adds a machine that has been there all along. */
    void add(String name) {
        visible.put(name, false);
    }

    /** Marks a machine; the list shows it after the lag. */
    void setLeaving(String name, boolean leaving, Instant now) {
        pendingChanges.add(new Change(now.plus(lag), name, leaving));
    }

    /** Returns whether each machine is shown as leaving. */
    Map<String, Boolean> visibleAt(Instant now) {
        while (!pendingChanges.isEmpty()
                && !pendingChanges.getFirst().visibleAt().isAfter(now)) {
            Change change = pendingChanges.removeFirst();
            visible.put(change.name(), change.leaving());
        }
        return Map.copyOf(visible);
    }
}
