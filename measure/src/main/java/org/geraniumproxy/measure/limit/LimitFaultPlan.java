package org.geraniumproxy.measure.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.measure.simulation.SimulatedScheduler;

/** Pauses, isolates and restarts VMs and changes the roster at random moments. */
final class LimitFaultPlan {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final int LONGEST_PAUSE_MILLISECONDS = 6000;
    private static final int LONGEST_ISOLATION_MILLISECONDS = 9000;
    private static final int LONGEST_ABSENCE_MILLISECONDS = 7000;

    /** Fewest VMs that stay in the roster. */
    private static final int SMALLEST_ROSTER = 2;

    private final LimitRun run;
    private final LimitFaults faults;
    private final SimulatedScheduler time;
    private final Random random;
    private final List<LimitNode> nodes;

    LimitFaultPlan(LimitRun run, LimitFaults faults, SimulatedScheduler time, Random random, List<LimitNode> nodes) {
        this.run = run;
        this.faults = faults;
        this.time = time;
        this.random = random;
        this.nodes = nodes;
    }

    void begin() {
        repeat(faults.pause(), this::pause);
        repeat(faults.isolation(), this::isolate);
        repeat(faults.restart(), this::restart);
        repeat(faults.leave(), this::leave);
    }

    private void repeat(Duration mean, Runnable action) {
        if (mean.isZero()) {
            return;
        }
        double seconds = -Math.log(1 - random.nextDouble()) * mean.toNanos() / NANOSECONDS_PER_SECOND;
        time.scheduleAfter(Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND)), () -> {
            action.run();
            repeat(mean, action);
        });
    }

    private void pause() {
        LimitNode node = anyNode();
        Duration length = Duration.ofMillis(1 + random.nextInt(LONGEST_PAUSE_MILLISECONDS));
        node.pauseUntil(time.now().plus(length));
        time.scheduleAfter(length, node::runHeld);
    }

    private void isolate() {
        Duration length = Duration.ofMillis(1 + random.nextInt(LONGEST_ISOLATION_MILLISECONDS));
        anyNode().isolateUntil(time.now().plus(length));
    }

    private void restart() {
        LimitNode node = anyNode();
        if (node.isPaused(time.now())) {
            return;
        }
        node.restart(time.now());
        run.started(node);
        remove(node);
    }

    private void leave() {
        remove(anyNode());
    }

    private void remove(LimitNode node) {
        List<Vm> vms = new ArrayList<>(run.roster().vms());
        if (vms.size() <= SMALLEST_ROSTER || !vms.remove(node.vm())) {
            return;
        }
        run.changeRoster(vms);
        time.scheduleAfter(Duration.ofMillis(1 + random.nextInt(LONGEST_ABSENCE_MILLISECONDS)), () -> add(node));
    }

    private void add(LimitNode node) {
        List<Vm> vms = new ArrayList<>(run.roster().vms());
        if (!vms.contains(node.vm())) {
            vms.add(node.vm());
            run.changeRoster(vms);
        }
    }

    private LimitNode anyNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }
}
