package org.geraniumproxy.standin.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.TreeMap;

/**
 * Names of VMs or backend servers, and whether each is leaving. Changes become visible after a lag. Not thread-safe.
 */
final class VmList {
    private record Change(Instant visibleAt, String name, boolean leaving) {}

    private final Duration lag;
    private final Map<String, Boolean> visible = new TreeMap<>();
    private final Deque<Change> pendingChanges = new ArrayDeque<>();

    VmList(Duration lag) {
        this.lag = lag;
    }

    /** Adds a machine that is visible at once and not leaving. */
    void add(String name) {
        visible.put(name, false);
    }

    /** Records whether a machine is leaving; visible after the lag. */
    void setLeaving(String name, boolean leaving, Instant now) {
        pendingChanges.add(new Change(now.plus(lag), name, leaving));
    }

    /** Returns the visible machines and whether each is leaving. The time must not go back between calls. */
    Map<String, Boolean> visibleAt(Instant now) {
        while (!pendingChanges.isEmpty()
                && !pendingChanges.getFirst().visibleAt().isAfter(now)) {
            Change change = pendingChanges.removeFirst();
            visible.put(change.name(), change.leaving());
        }
        return Map.copyOf(visible);
    }
}
