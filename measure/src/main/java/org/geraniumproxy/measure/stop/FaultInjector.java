package org.geraniumproxy.measure.stop;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.random.RandomGenerator;
import org.geraniumproxy.measure.process.NodeProcess;

/** Carries out the faults of a run. Each stop and its restart have a virtual thread of their own. */
final class FaultInjector implements AutoCloseable {
    /** Time within which a node is ready after its start. */
    static final Duration START_TIMEOUT = Duration.ofSeconds(20);

    private static final Duration RESTART_DELAY = Duration.ofMillis(300);

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final List<NodeProcess> nodes;
    private final LoadClients clients;
    private final Runnable reconfigure;
    private final RunJournal journal;
    private final Clock clock;
    private final Duration grace;
    private final RandomGenerator random;

    FaultInjector(
            List<NodeProcess> nodes,
            LoadClients clients,
            Runnable reconfigure,
            RunJournal journal,
            Clock clock,
            Duration grace,
            long seed) {
        this.nodes = List.copyOf(nodes);
        this.clients = clients;
        this.reconfigure = reconfigure;
        this.journal = journal;
        this.clock = clock;
        this.grace = grace;
        this.random = new SplittableRandom(seed);
    }

    /** Carries out a schedule and returns after its last fault has begun. */
    void run(FaultSchedule schedule) throws InterruptedException {
        Instant start = clock.instant();
        for (Fault fault : schedule.faults()) {
            Duration wait = Duration.between(clock.instant(), start.plus(fault.at()));
            Thread.sleep(wait.isPositive() ? wait : Duration.ZERO);
            RandomGenerator ownRandom = new SplittableRandom(random.nextLong());
            switch (fault) {
                case Fault.Stop stop ->
                    begin(nodes.get(stop.node()), node -> {
                        stop(node, stop.repeats(), ownRandom);
                        restart(node, true);
                    });
                case Fault.StopAfterStart stop ->
                    begin(nodes.get(stop.node()), node -> {
                        stop(node, Duration.ZERO, ownRandom);
                        restart(node, false);
                        Thread.sleep(stop.delay());
                        stop(node, Duration.ZERO, ownRandom);
                        restart(node, true);
                    });
                case Fault.HangUp hangUp ->
                    begin(nodes.get(hangUp.node()), node -> {
                        journal.addDisturbance(clock.instant());
                        node.hangUp();
                    });
                case Fault.Reconfigure _ -> {
                    journal.addDisturbance(clock.instant());
                    reconfigure.run();
                }
            }
        }
    }

    private interface NodeAction {
        void perform(NodeProcess node) throws IOException, InterruptedException;
    }

    /** Skips a fault if its node or half of the nodes are being stopped or started. */
    private void begin(NodeProcess node, NodeAction action) {
        if (nodes.stream().filter(NodeProcess::isClaimed).count() * 2 >= nodes.size() || !node.claim()) {
            return;
        }
        executor.execute(() -> {
            try {
                action.perform(node);
            } catch (IOException e) {
                journal.addNodeFailure("node=" + node.name() + " fault not carried out: " + e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                node.release();
            }
        });
    }

    private void stop(NodeProcess node, Duration repeats, RandomGenerator ownRandom)
            throws IOException, InterruptedException {
        if (!node.isAlive()) {
            journal.addNodeFailure("node=" + node.name() + " ended without a signal, exit code=" + node.exitCode());
            return;
        }
        Instant terminated = clock.instant();
        node.terminate();
        clients.connectDuringStop(node, terminated, ownRandom);
        if (repeats.isPositive() && !node.awaitEnd(repeats)) {
            journal.addDisturbance(clock.instant());
            node.hangUp();
            node.terminate();
        }
        boolean ended = node.awaitEnd(Duration.between(clock.instant(), terminated.plus(grace)));
        if (!ended) {
            node.kill();
        }
        journal.add(new StopRecord(node.name(), terminated, clock.instant(), node.exitCode(), !ended));
    }

    private void restart(NodeProcess node, boolean awaitReady) throws IOException, InterruptedException {
        Thread.sleep(RESTART_DELAY);
        node.start();
        if (!node.awaitStart(clock, awaitReady, START_TIMEOUT)) {
            journal.addNodeFailure("node=" + node.name() + " was not ready " + START_TIMEOUT + " after its start");
        }
    }

    /** Waits until all stopped nodes have been restarted. */
    @Override
    public void close() {
        executor.close();
    }
}
