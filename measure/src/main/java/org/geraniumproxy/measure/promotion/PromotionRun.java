package org.geraniumproxy.measure.promotion;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.geraniumproxy.engine.loop.MonotonicClock;
import org.geraniumproxy.measure.process.NodeProcess;
import org.geraniumproxy.measure.process.PortAllocator;
import org.geraniumproxy.measure.process.StoreStandIn;

/**
 * Run of real node processes beside a group whose primary is replaced again and again. The seed determines the times of
 * the faults. The processes run in real time, so a run is not exactly repeatable.
 */
final class PromotionRun {
    /** Numbers of the nodes. */
    static final Set<Integer> NODES = Set.of(0, 1, 2);

    /** Name of a node without its number. */
    static final String NODE_PREFIX = "edge-";

    private static final Duration GRACE = Duration.ofSeconds(6);
    /** Longest wait for a primary when all faults have ended. */
    private static final Duration PRIMARY_TIMEOUT = Duration.ofSeconds(12);

    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);

    private final long seed;
    private final Scenario.Name scenario;
    private final int replacements;
    private final Path folder;
    private final PortAllocator ports;
    private final Clock clock = new MonotonicClock();
    private final List<String> failures = new ArrayList<>();

    /**
     * Prepares a run.
     *
     * @param replacements number of replacements, one after the other
     * @param folder folder of the run, which receives the settings and logs of the nodes
     */
    PromotionRun(long seed, Scenario.Name scenario, int replacements, Path folder, PortAllocator ports) {
        this.seed = seed;
        this.scenario = scenario;
        this.replacements = replacements;
        this.folder = folder;
        this.ports = ports;
    }

    /**
     * Plays the run.
     *
     * @return what was seen
     * @throws IOException if the stand-ins or nodes cannot be started
     */
    PromotionResult play() throws IOException, InterruptedException {
        Files.createDirectories(folder);
        SplittableRandom random = new SplittableRandom(seed);
        int storePort = ports.allocate();
        List<NodeProcess> nodes = new ArrayList<>();
        ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
        ReplicationGroup group = new ReplicationGroup(clock, executor, random.split());
        LateCloudApi cloudApi = new LateCloudApi(group, clock, new SplittableRandom(~seed));
        try (StoreStandIn store = new StoreStandIn(clock, storePort, cloudApi);
                GroupFaults faults = new GroupFaults(group, store, cloudApi, nodes, clock, ports, executor, random)) {
            store.put("op/config", configuration());
            faults.addDatabases(3);
            for (int i = 0; i < NODES.size(); i++) {
                int number = i;
                int ownStorePort = ports.allocate();
                store.listen(ownStorePort, (key, value) -> faults.show(number, key, value));
                NodeProcess node = new NodeProcess(NODE_PREFIX + i, ports, ownStorePort, GRACE, folder);
                nodes.add(node);
                node.start();
            }
            for (NodeProcess node : nodes) {
                if (!node.awaitStart(clock, true, START_TIMEOUT)) {
                    failures.add("NODE " + node.name() + " was not ready " + START_TIMEOUT + " after its start");
                }
            }
            PromotionResult result = replace(nodes, group, cloudApi, faults);
            Files.write(folder.resolve("findings.txt"), result.lines());
            return result;
        } finally {
            executor.shutdownNow();
            for (NodeProcess node : nodes) {
                node.kill();
            }
        }
    }

    private PromotionResult replace(
            List<NodeProcess> nodes, ReplicationGroup group, LateCloudApi cloudApi, GroupFaults faults)
            throws IOException, InterruptedException {
        List<Duration> gaps = new ArrayList<>();
        Map<String, Long> outcomes;
        try (WriteLoad load = new WriteLoad(seed, nodes, group::tell)) {
            for (int number = 1; number <= replacements; number++) {
                Thread.sleep(GroupFaults.SETTLING_TIME);
                if (!group.awaitPrimary(PRIMARY_TIMEOUT)) {
                    failures.add("NO PRIMARY before replacement " + number);
                    break;
                }
                Optional<Duration> gap = faults.replace(scenario, number == replacements);
                if (gap.isPresent()) {
                    gaps.add(gap.get());
                } else if (scenario.needsPromotion()) {
                    failures.add("NO PROMOTION in replacement " + number);
                }
                if (scenario.hasOpenRequest() && !cloudApi.hasReceivedRequest()) {
                    failures.add("NO REQUEST in replacement " + number);
                }
                if (scenario.hasOpenRequest() && !group.awaitTold(PRIMARY_TIMEOUT)) {
                    failures.add("NO COMMIT after the faults of replacement " + number);
                }
            }
            outcomes = load.outcomes();
        }
        nodes.stream()
                .filter(node -> !node.isAlive())
                .forEach(node -> failures.add("NODE " + node.name() + " had ended, exit code=" + node.exitCode()));
        return new PromotionResult(seed, scenario, group.promotions(), gaps, failures, outcomes, folder);
    }

    private static String configuration() {
        return """
                {"version": 2, "routes": [{"name": "r-entries", "host": "%s", "prefix": "/", "kind": "primary",
                  "timeoutMs": 800, "targetLatencyMs": 400, "maxStalenessMs": 1000, "priority": 1, "service": "%s",
                  "maxAttempts": 2, "public": false}],
                 "services": [{"name": "%s", "healthPath": "/healthz", "maxConns": 400, "syncReplicas": 1}],
                 "limits": {"idleTimeoutMs": 15000, "txnIdleMs": 3000},
                 "tenants": [{"name": "troupe", "apiKeys": ["%s"], "ratePerS": 5000, "burst": 5000}]}
                """.formatted(WriteLoad.HOST, ReplicationGroup.SERVICE, ReplicationGroup.SERVICE, WriteLoad.KEY);
    }
}
