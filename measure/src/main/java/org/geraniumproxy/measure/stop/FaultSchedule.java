package org.geraniumproxy.measure.stop;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Faults of a run in the order of their times.
 *
 * @param faults faults
 */
record FaultSchedule(List<Fault> faults) {
    FaultSchedule {
        faults = List.copyOf(faults);
    }

    /** Stops the nodes one after the other. */
    static FaultSchedule series(int nodes, Duration length, Duration interval) {
        List<Fault> faults = new ArrayList<>();
        int node = 0;
        for (Duration at = Duration.ZERO; at.compareTo(length) < 0; at = at.plus(interval)) {
            faults.add(new Fault.Stop(at, node++ % nodes, Duration.ZERO));
        }
        return new FaultSchedule(faults);
    }

    /** Random faults of every kind, overlapping at times. */
    static FaultSchedule random(int nodes, Duration length, RandomGenerator random) {
        List<Fault> faults = new ArrayList<>();
        Duration at = Duration.ZERO;
        while (at.compareTo(length) < 0) {
            int node = random.nextInt(nodes);
            switch (random.nextInt(10)) {
                case 0 -> faults.add(new Fault.Stop(at, node, Duration.ofMillis(random.nextInt(200, 2600))));
                case 1 -> faults.add(new Fault.StopAfterStart(at, node, Duration.ofMillis(random.nextInt(800))));
                case 2 -> faults.add(new Fault.HangUp(at, node));
                case 3 -> faults.add(new Fault.Reconfigure(at));
                case 4, 5 -> {
                    faults.add(new Fault.Stop(at, node, Duration.ZERO));
                    at = at.plusMillis(random.nextInt(3000));
                    faults.add(new Fault.Stop(at, (node + 1) % nodes, Duration.ZERO));
                }
                default -> faults.add(new Fault.Stop(at, node, Duration.ZERO));
            }
            at = at.plusMillis(random.nextInt(500, 4000));
        }
        return new FaultSchedule(faults);
    }
}
