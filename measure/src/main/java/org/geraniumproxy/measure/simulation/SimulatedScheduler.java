package org.geraniumproxy.measure.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Scheduler on simulated time. Runs actions by due time; actions with the same due time run in the order in which they
 * were scheduled, so that a run is reproducible.
 */
public final class SimulatedScheduler {
    /** Simulated time at the start of every run. */
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private record ScheduledAction(Instant dueAt, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledAction> scheduledActions = new PriorityQueue<>(
            Comparator.comparing(ScheduledAction::dueAt).thenComparingLong(ScheduledAction::sequence));
    private Instant now = START;
    private long sequence;

    /**
     * Returns the current simulated time.
     *
     * @return due time of the action that is running, or the end of the last run
     */
    public Instant now() {
        return now;
    }

    /**
     * Schedules an action once.
     *
     * @param delay delay from the current simulated time, not negative
     * @param action the action
     */
    public void scheduleAfter(Duration delay, Runnable action) {
        scheduledActions.add(new ScheduledAction(now.plus(delay), sequence++, action));
    }

    /**
     * Runs all actions that are due up to the given time, and advances the clock to it.
     *
     * @param end end of the run, inclusive
     */
    public void runUntil(Instant end) {
        while (!scheduledActions.isEmpty() && !scheduledActions.peek().dueAt().isAfter(end)) {
            ScheduledAction next = scheduledActions.remove();
            now = next.dueAt();
            next.action().run();
        }
        now = end;
    }
}
