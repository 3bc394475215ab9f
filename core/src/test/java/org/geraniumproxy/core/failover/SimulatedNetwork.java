package org.geraniumproxy.core.failover;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Network that delays, loses, duplicates and reorders messages and can isolate nodes. */
final class SimulatedNetwork {
    private static final int MINIMUM_DELAY_MILLIS = 1;
    private static final int MAXIMUM_DELAY_MILLIS = 30;

    private final SimulatedScheduler scheduler;
    private final Random random;
    private final Set<String> isolated = new HashSet<>();
    private double lossRate = 0.03;

    SimulatedNetwork(SimulatedScheduler scheduler, Random random) {
        this.scheduler = scheduler;
        this.random = random;
    }

    void isolate(String node) {
        isolated.add(node);
    }

    void reconnect(String node) {
        isolated.remove(node);
    }

    void stopMessageLoss() {
        lossRate = 0;
    }

    void send(String from, String to, Runnable delivery) {
        int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < lossRate ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            int delay = random.nextInt(MINIMUM_DELAY_MILLIS, MAXIMUM_DELAY_MILLIS);
            scheduler.schedule(delay, () -> {
                if (!isolated.contains(from) && !isolated.contains(to)) {
                    delivery.run();
                }
            });
        }
    }
}
