package org.geraniumproxy.measure.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.measure.simulation.SimulatedScheduler;

/** Pauses, isolates and restarts VMs and changes the roster at random times. */
final class LimitFaultInjector {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final int MAXIMUM_PAUSE_MILLISECONDS = 6000;
    private static final int MAXIMUM_ISOLATION_MILLISECONDS = 9000;
    private static final int MAXIMUM_ABSENCE_MILLISECONDS = 7000;

    private static final int MINIMUM_ROSTER_SIZE = 2;

    private final LimitRun run;
    private final LimitFaults faults;
    private final SimulatedScheduler scheduler;
    private final Random random;
    private final List<LimitNode> nodes;

    LimitFaultInjector(
            LimitRun run, LimitFaults faults, SimulatedScheduler scheduler, Random random, List<LimitNode> nodes) {
        this.run = run;
        this.faults = faults;
        this.scheduler = scheduler;
        this.random = random;
        this.nodes = nodes;
    }

    void start() {
        scheduleRepeatedly(faults.meanPauseInterval(), this::pause);
        scheduleRepeatedly(faults.meanIsolationInterval(), this::isolate);
        scheduleRepeatedly(faults.meanRestartInterval(), this::restart);
        scheduleRepeatedly(faults.meanLeaveInterval(), this::removeRandomNode);
    }

    private void scheduleRepeatedly(Duration meanInterval, Runnable action) {
        if (meanInterval.isZero()) {
            return;
        }
        double seconds = -Math.log(1 - random.nextDouble()) * meanInterval.toNanos() / NANOSECONDS_PER_SECOND;
        scheduler.scheduleAfter(Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND)), () -> {
            action.run();
            scheduleRepeatedly(meanInterval, action);
        });
    }

    private void pause() {
        LimitNode node = randomNode();
        Duration duration = Duration.ofMillis(1 + random.nextInt(MAXIMUM_PAUSE_MILLISECONDS));
        node.pauseUntil(scheduler.now().plus(duration));
        scheduler.scheduleAfter(duration, node::runDeferredActions);
    }

    private void isolate() {
        Duration duration = Duration.ofMillis(1 + random.nextInt(MAXIMUM_ISOLATION_MILLISECONDS));
        randomNode().isolateUntil(scheduler.now().plus(duration));
    }

    private void restart() {
        LimitNode node = randomNode();
        if (node.isPaused(scheduler.now())) {
            return;
        }
        node.restart(scheduler.now());
        run.startTimers(node);
        remove(node);
    }

    private void removeRandomNode() {
        remove(randomNode());
    }

    private void remove(LimitNode node) {
        List<Vm> vms = new ArrayList<>(run.roster().vms());
        if (vms.size() <= MINIMUM_ROSTER_SIZE || !vms.remove(node.vm())) {
            return;
        }
        run.changeRoster(vms);
        scheduler.scheduleAfter(Duration.ofMillis(1 + random.nextInt(MAXIMUM_ABSENCE_MILLISECONDS)), () -> add(node));
    }

    private void add(LimitNode node) {
        List<Vm> vms = new ArrayList<>(run.roster().vms());
        if (!vms.contains(node.vm())) {
            vms.add(node.vm());
            run.changeRoster(vms);
        }
    }

    private LimitNode randomNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }
}
