package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in order of simulated time; actions scheduled for the same time run in order of creation. */
final class SimulatedScheduler {
    private record Action(long atMillis, long number, Runnable body) {}

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::atMillis).thenComparingLong(Action::number));
    private long nowMillis;
    private long actionCount;

    long currentMillis() {
        return nowMillis;
    }

    /** Returns the time on a VM's clock. Clocks of different VMs differ by their offsets and must not be compared. */
    Instant clock(Duration offset) {
        return Instant.ofEpochMilli(nowMillis).plus(offset);
    }

    void schedule(long delayMillis, Runnable body) {
        actions.add(new Action(nowMillis + delayMillis, actionCount++, body));
    }

    void runUntil(long endMillis) {
        while (!actions.isEmpty() && actions.peek().atMillis() <= endMillis) {
            Action action = actions.remove();
            nowMillis = action.atMillis();
            action.body().run();
        }
        nowMillis = endMillis;
    }
}
