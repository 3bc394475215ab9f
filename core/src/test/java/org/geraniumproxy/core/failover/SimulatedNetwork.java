package org.geraniumproxy.core.failover;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Delays, loses, duplicates and reorders messages and cuts nodes off. */
final class SimulatedNetwork {
    private static final int SHORTEST_DELAY_MILLIS = 1;
    private static final int LONGEST_DELAY_MILLIS = 30;

    private final SimulatedTime time;
    private final Random random;
    private final Set<String> isolated = new HashSet<>();
    private double lossRate = 0.03;

    SimulatedNetwork(SimulatedTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    void isolate(String node) {
        isolated.add(node);
    }

    void reconnect(String node) {
        isolated.remove(node);
    }

    void endFaults() {
        lossRate = 0;
    }

    void send(String from, String to, Runnable delivery) {
        int copies = random.nextDouble() < lossRate ? 0 : random.nextDouble() < lossRate ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            int delay = random.nextInt(SHORTEST_DELAY_MILLIS, LONGEST_DELAY_MILLIS);
            time.after(delay, () -> {
                if (!isolated.contains(from) && !isolated.contains(to)) {
                    delivery.run();
                }
            });
        }
    }
}
