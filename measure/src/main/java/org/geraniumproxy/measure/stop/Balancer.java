package org.geraniumproxy.measure.stop;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicIntegerArray;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.geraniumproxy.measure.process.NodeProcess;

/** Chooses the node of a new connection. Nodes leave the rotation after two missed probes and return after a 200. */
final class Balancer {
    private static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
    private static final int MISSES_TO_LEAVE = 2;

    private final List<NodeProcess> nodes;
    private final RunJournal journal;
    private final AtomicIntegerArray misses;
    private final List<Thread> probes;

    Balancer(List<NodeProcess> nodes, RunJournal journal) {
        this.nodes = List.copyOf(nodes);
        this.journal = journal;
        this.misses = new AtomicIntegerArray(nodes.size());
        this.probes = IntStream.range(0, nodes.size())
                .mapToObj(i -> Thread.ofVirtual().start(() -> probe(i)))
                .toList();
    }

    /** Returns a node in rotation, or any node if fewer than half are in rotation. */
    NodeProcess choose(RandomGenerator random) {
        List<NodeProcess> inRotation = IntStream.range(0, nodes.size())
                .filter(i -> misses.get(i) < MISSES_TO_LEAVE)
                .mapToObj(nodes::get)
                .toList();
        List<NodeProcess> usable = inRotation.size() * 2 < nodes.size() ? nodes : inRotation;
        NodeProcess node = usable.get(random.nextInt(usable.size()));
        if (!inRotation.contains(node)) {
            journal.countOutOfRotation();
        }
        return node;
    }

    void stop() {
        probes.forEach(Thread::interrupt);
    }

    private void probe(int index) {
        try {
            while (true) {
                if (nodes.get(index).isReady()) {
                    misses.set(index, 0);
                } else {
                    misses.incrementAndGet(index);
                }
                Thread.sleep(PROBE_INTERVAL);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
