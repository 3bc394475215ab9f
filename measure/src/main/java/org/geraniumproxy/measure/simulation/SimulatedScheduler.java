package org.geraniumproxy.measure.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Simulated time: runs actions in order of their moment, and in order of scheduling where the moments are equal. */
public final class SimulatedScheduler {
    /** Moment at which every run begins. */
    public static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private record ScheduledAction(Instant dueAt, long sequence, Runnable action) {}

    private final PriorityQueue<ScheduledAction> scheduledActions =
            new PriorityQueue<>(Comparator.comparing(ScheduledAction::dueAt).thenComparingLong(ScheduledAction::sequence));
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
    public void scheduleAfter(Duration delay, Runnable action) {
        scheduledActions.add(new ScheduledAction(now.plus(delay), sequence++, action));
    }

    /**
     * Runs every action up to a moment.
     *
     * @param end the moment
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
