package org.geraniumproxy.measure.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time: runs actions in order of their moment, and in order of scheduling where the moments are equal. */
public final class SimulatedTime {
    /** Moment at which every run begins. */
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private record Entry(Instant moment, long sequence, Runnable action) {}

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparing(Entry::moment).thenComparingLong(Entry::sequence));
    private Instant now = START;
    private long sequence;

    /**
     * Returns the present moment.
     *
     * @return the moment
     */
    public Instant now() {
        return now;
    }

    /**
     * Schedules an action.
     *
     * @param delay time from now, not negative
     * @param action the action
     */
    public void after(Duration delay, Runnable action) {
        entries.add(new Entry(now.plus(delay), sequence++, action));
    }

    /**
     * Runs every action up to a moment.
     *
     * @param end the moment
     */
    public void runUntil(Instant end) {
        while (!entries.isEmpty() && !entries.peek().moment().isAfter(end)) {
            Entry entry = entries.remove();
            now = entry.moment();
            entry.action().run();
        }
        now = end;
    }
}
