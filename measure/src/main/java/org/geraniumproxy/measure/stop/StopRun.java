package org.geraniumproxy.measure.stop;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import org.geraniumproxy.engine.loop.MonotonicClock;
import org.geraniumproxy.measure.process.NodeProcess;
import org.geraniumproxy.measure.process.PortAllocator;
import org.geraniumproxy.measure.process.StoreStandIn;

/**
 * Run of real node processes with seeded faults and clients. The seed determines the faults and what the clients send.
 * The processes run in real time, so a run is not exactly repeatable.
 */
final class StopRun {
    private static final Duration GRACE = Duration.ofSeconds(6);

    /** Time with calm nodes before the first fault. */
    private static final Duration WARM_UP = Duration.ofMillis(1500);

    private final long seed;
    private final LoadProfile profile;
    private final FaultSchedule schedule;
    private final int nodeCount;
    private final Path folder;
    private final PortAllocator ports;
    private final Clock clock = new MonotonicClock();
    private final RunJournal journal = new RunJournal();
    private final AtomicInteger version = new AtomicInteger(2);

    /**
     * Prepares a run.
     *
     * @param nodeCount number of nodes
     * @param folder folder of the run, which receives the settings and logs of the nodes
     */
    StopRun(long seed, LoadProfile profile, FaultSchedule schedule, int nodeCount, Path folder, PortAllocator ports) {
        this.seed = seed;
        this.profile = profile;
        this.schedule = schedule;
        this.nodeCount = nodeCount;
        this.folder = folder;
        this.ports = ports;
    }

    /** Returns a run whose clients and faults follow from the seed. */
    static StopRun ofSeed(long seed, Duration length, int nodeCount, Path folder, PortAllocator ports) {
        RandomGenerator random = new SplittableRandom(seed);
        LoadProfile profile = LoadProfile.ofSeed(seed, random);
        return new StopRun(seed, profile, FaultSchedule.random(nodeCount, length, random), nodeCount, folder, ports);
    }

    /**
     * Plays the run.
     *
     * @return what was seen, and what broke a promise
     * @throws IOException if the stand-ins or nodes cannot be started
     */
    StopResult play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        int storePort = ports.allocate();
        List<NodeProcess> nodes = new ArrayList<>();
        try (StoreStandIn store = new StoreStandIn(clock, storePort, (_, _, _, _) -> 200);
                DatabaseGroup databases = new DatabaseGroup(clock, journal, ports)) {
            store.put("op/config", configuration());
            databases.register(store);
            for (int i = 1; i <= nodeCount; i++) {
                NodeProcess node = new NodeProcess("edge-" + i, ports, storePort, GRACE, folder);
                nodes.add(node);
                node.start();
            }
            for (NodeProcess node : nodes) {
                if (!node.awaitStart(clock, true, FaultInjector.START_TIMEOUT)) {
                    journal.addNodeFailure("node=" + node.name() + " was not ready " + FaultInjector.START_TIMEOUT
                            + " after the first start");
                }
            }
            disturb(nodes, store);
        } finally {
            for (NodeProcess node : nodes) {
                node.kill();
            }
        }
        RunRecord run = journal.snapshot();
        StopResult result = new StopResult(seed, run, StopChecks.check(run, GRACE), folder);
        Files.write(folder.resolve("findings.txt"), result.lines());
        return result;
    }

    private void disturb(List<NodeProcess> nodes, StoreStandIn store) throws InterruptedException {
        Balancer balancer = new Balancer(nodes, journal);
        try (LoadClients clients = new LoadClients(seed, profile, nodes, balancer, journal, clock)) {
            clients.start();
            Thread.sleep(WARM_UP);
            try (FaultInjector injector = new FaultInjector(
                    nodes, clients, () -> store.put("op/config", configuration()), journal, clock, GRACE, seed)) {
                injector.run(schedule);
            }
        } finally {
            balancer.stop();
        }
        nodes.stream()
                .filter(node -> !node.isAlive())
                .forEach(node -> journal.addNodeFailure(
                        "node=" + node.name() + " had ended at the end of the run, exit code=" + node.exitCode()));
    }

    private String configuration() {
        int number = version.getAndAdd(3);
        return """
                {"version": %d, "routes": [%s, %s, %s, %s],
                 "services": [{"name": "%s", "healthPath": "/healthz", "maxConns": 400, "syncReplicas": 1}],
                 "limits": {"idleTimeoutMs": 15000, "txnIdleMs": 3000},
                 "tenants": [{"name": "troupe", "apiKeys": ["%s"], "ratePerS": 5000, "burst": 5000}]}
                """.formatted(
                        number,
                        route("entries", "primary", 800),
                        route("archive", "primary", 3000),
                        route("views", "bounded_staleness", 800),
                        route("extra" + number, "read_your_writes", 700 + number),
                        DatabaseGroup.SERVICE,
                        ClientSession.KEY);
    }

    private static String route(String host, String kind, int timeoutMillis) {
        return """
                {"name": "r-%s", "host": "%s", "prefix": "/", "kind": "%s", "timeoutMs": %d, "targetLatencyMs": 400,
                 "maxStalenessMs": 1000, "priority": 1, "service": "%s", "maxAttempts": 2, "public": false}""".formatted(host, host, kind, timeoutMillis, DatabaseGroup.SERVICE);
    }
}
