package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs actions in the order of their simulated time; actions of the same moment run in the order of their creation. */
final class SimulatedScheduler {
    private record Action(long atMillis, long number, Runnable body) {}

    private final PriorityQueue<Action> actions =
            new PriorityQueue<>(Comparator.comparingLong(Action::atMillis).thenComparingLong(Action::number));
    private long nowMillis;
    private long actionCount;

    long currentMillis() {
        return nowMillis;
    }

    /** Clock of a VM: clocks of different VMs differ and are never compared. */
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
