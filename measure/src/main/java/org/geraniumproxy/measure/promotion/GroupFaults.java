package org.geraniumproxy.measure.promotion;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Phaser;
import java.util.random.RandomGenerator;
import org.geraniumproxy.measure.process.NodeProcess;
import org.geraniumproxy.measure.process.PortAllocator;
import org.geraniumproxy.measure.process.StoreStandIn;
import org.geraniumproxy.measure.promotion.Scenario.Departure;
import org.geraniumproxy.measure.promotion.Scenario.Disturbance;
import org.geraniumproxy.measure.promotion.Scenario.HolderFault;

/** Replaces the primary of a group and disturbs the group meanwhile. Used by one thread. */
final class GroupFaults implements AutoCloseable {
    /** Time without faults before a replacement. */
    static final Duration SETTLING_TIME = Duration.ofMillis(1500);

    /** Time after which a started database has caught up, with a margin; the settings of the nodes say 4 s. */
    private static final Duration CATCH_UP_TIME = Duration.ofSeconds(5);

    /** Longest wait for a promotion; longer than every fault lasts. */
    private static final Duration PROMOTION_TIMEOUT = Duration.ofSeconds(45);

    /** Wait for the promotion after a cut, which is shorter and need not lead to one. */
    private static final Duration CUT_TIMEOUT = Duration.ofSeconds(12);

    /** Wait for the promotion after an open request, and for the request itself. */
    private static final Duration OPEN_REQUEST_TIMEOUT = Duration.ofSeconds(15);

    /** Time between the entry of a new replica and the notice of the primary. */
    private static final Duration SUCCESSOR_LEAD = Duration.ofMillis(1500);

    /** Longest pause between replacements whose faults overlap, in milliseconds. */
    private static final int LONGEST_OVERLAP_PAUSE_MILLIS = 1500;

    /** Longest time until a replica other than the first to confirm has received a commit, in milliseconds. */
    private static final int SLOW_MILLIS = 40;

    private final ReplicationGroup group;
    private final StoreStandIn store;
    private final LateCloudApi cloudApi;
    private final List<NodeProcess> nodes;
    private final PortAllocator ports;
    private final ExecutorService executor;
    private final Clock clock;
    private final RandomGenerator random;
    private final Registrar registrar;
    private final Map<String, GroupDatabase> databases = new ConcurrentHashMap<>();
    private int lastNumber;

    GroupFaults(
            ReplicationGroup group,
            StoreStandIn store,
            LateCloudApi cloudApi,
            List<NodeProcess> nodes,
            Clock clock,
            PortAllocator ports,
            ExecutorService executor,
            RandomGenerator random) {
        this.group = group;
        this.store = store;
        this.cloudApi = cloudApi;
        this.nodes = nodes;
        this.clock = clock;
        this.ports = ports;
        this.executor = executor;
        this.random = random;
        this.registrar = new Registrar(group, store, clock);
        executor.execute(registrar::run);
    }

    void addDatabases(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            add(false);
        }
    }

    /**
     * Replaces the primary.
     *
     * @param last whether to return after the first commit of the new primary, while the old one still leaves or starts
     * @return time from the departure of the primary to the first acknowledged commit in a later term, or nothing if
     *     none was acknowledged
     */
    Optional<Duration> replace(Scenario.Name name, boolean last) throws IOException, InterruptedException {
        Phaser ended = new Phaser(1);
        Optional<Duration> gap = replaceBeside(name, ended);
        for (int i = 1; i < name.overlappingReplacements(); i++) {
            Thread.sleep(random.nextInt(LONGEST_OVERLAP_PAUSE_MILLIS));
            if (group.awaitPrimary(OPEN_REQUEST_TIMEOUT)) {
                gap = replaceBeside(name, ended);
            }
        }
        if (name.hasOpenRequest()) {
            ended.arriveAndAwaitAdvance();
            cloudApi.awaitAllCarriedOut(); // a request that is still open may lose commits
        }
        if (!last) {
            ended.arriveAndAwaitAdvance();
            Thread.sleep(CATCH_UP_TIME); // a database that has just started proves nothing in a promotion
        }
        return gap;
    }

    /** Replaces the primary, and waits for the first commit afterwards but not for the end of the faults. */
    private Optional<Duration> replaceBeside(Scenario.Name name, Phaser ended)
            throws IOException, InterruptedException {
        Scenario scenario = name.create(random);
        String primary = group.state().primary().orElseThrow();
        long term = group.state().find(primary).term();
        Instant departed = begin(scenario, primary, ended);
        return group.awaitAcknowledgedAfter(term, timeout(scenario, name)).map(at -> Duration.between(departed, at));
    }

    private static Duration timeout(Scenario scenario, Scenario.Name name) {
        return switch (scenario.departure()) {
            case PLANNED -> PROMOTION_TIMEOUT;
            case CRASH -> name.needsPromotion() ? PROMOTION_TIMEOUT : OPEN_REQUEST_TIMEOUT;
            case CUT -> name.hasOpenRequest() ? OPEN_REQUEST_TIMEOUT : CUT_TIMEOUT;
        };
    }

    /** Returns the time of the departure. */
    private Instant begin(Scenario scenario, String primary, Phaser ended) throws IOException, InterruptedException {
        switch (scenario.disturbance()) {
            case Disturbance.None _ -> {
                startSuccessor(scenario.departure());
                return depart(scenario.departure(), primary, ended);
            }
            case Disturbance.UnlistedSuccessor unlisted -> {
                store.beginSilence();
                registrar.setSilent(true);
                String successor = add(true);
                confirmFirst(successor);
                Thread.sleep(unlisted.silence());
                registrar.setSilent(false);
                store.endSilence();
                later(unlisted.entryDelay(), ended, () -> {
                    registrar.setCutOff(successor, false);
                    confirmAlike();
                });
                return depart(scenario.departure(), primary, ended);
            }
            case Disturbance.ExpiredReplica expired -> {
                String replica = chooseReplica(primary);
                registrar.setCutOff(replica, true);
                databases.get(replica).cutOff(expired.byHolderOnly() ? Set.of(holder()) : PromotionRun.NODES);
                later(expired.length(), ended, () -> {
                    databases.get(replica).cutOff(Set.of());
                    registrar.setCutOff(replica, false);
                    confirmAlike();
                });
                Thread.sleep(expired.lead().minus(SUCCESSOR_LEAD));
                startSuccessor(scenario.departure());
                confirmFirst(replica);
                return depart(scenario.departure(), primary, ended);
            }
            case Disturbance.LateCommands late -> {
                String replica = chooseReplica(primary);
                startSuccessor(scenario.departure());
                confirmFirst(replica);
                databases.get(replica).setCommandDelay(late.delay());
                later(late.delay(), ended, () -> {
                    databases.get(replica).setCommandDelay(Duration.ZERO);
                    confirmAlike();
                });
                return depart(scenario.departure(), primary, ended);
            }
            case Disturbance.OpenRequest open -> {
                cloudApi.beginLateness(open.lateness());
                Instant departed = cutOff(primary);
                keepRequestOpen(open, primary, ended);
                return departed;
            }
            case Disturbance.RestartedNodes restarted -> {
                restartNodes(restarted, primary, ended);
                return depart(scenario.departure(), primary, ended);
            }
        }
    }

    /**
     * Lets a replica end for good whose commits the other one lacks, and restarts all nodes when its entry has expired.
     */
    private void restartNodes(Disturbance.RestartedNodes restarted, String primary, Phaser ended)
            throws IOException, InterruptedException {
        String behind = chooseReplica(primary);
        group.setReceiving(behind, false);
        Thread.sleep(restarted.endDelay());
        crashReplica(primary, behind);
        Thread.sleep(restarted.killDelay());
        for (NodeProcess node : nodes) {
            node.kill();
        }
        for (NodeProcess node : nodes) {
            node.start();
        }
        for (NodeProcess node : nodes) {
            if (!node.awaitStart(clock, true, OPEN_REQUEST_TIMEOUT)) {
                throw new IllegalStateException("node " + node.name() + " did not start again");
            }
        }
        if (restarted.receivesBefore()) {
            group.setReceiving(behind, true);
        } else {
            later(restarted.departureDelay().multipliedBy(2), ended, () -> group.setReceiving(behind, true));
        }
        Thread.sleep(restarted.departureDelay());
        later(restarted.departureDelay().multipliedBy(2), ended, () -> {
            // A database that joins a group without a primary would lead with an empty log.
            if (group.awaitPrimary(PROMOTION_TIMEOUT)) {
                add(false);
            }
        });
    }

    /** Waits for a request and lets a replica appear while it is open. */
    private void keepRequestOpen(Disturbance.OpenRequest open, String primary, Phaser ended)
            throws IOException, InterruptedException {
        Optional<LateCloudApi.Request> request = cloudApi.awaitFirst(OPEN_REQUEST_TIMEOUT);
        if (request.isEmpty()) {
            cloudApi.endLateness(open.lateness());
            heal(primary);
            return;
        }
        if (open.arrival().replacesReplica()) {
            crashReplica(primary, request.get().database());
        }
        later(open.arrival().delay(), ended, () -> {
            String joined = add(true);
            confirmFirst(joined);
            later(open.arrival().entryDelay(), ended, () -> registrar.setCutOff(joined, false));
        });
        later(open.lateness().longest(), ended, () -> {
            cloudApi.endLateness(open.lateness());
            confirmAlike();
        });
        NodeProcess holder = nodes.get(number(request.get().holder()));
        switch (open.fault()) {
            case HolderFault.None _ ->
                later(Duration.ofMillis(random.nextInt(7000, 11_000)), ended, () -> heal(primary));
            case HolderFault.Killed killed -> {
                later(killed.delay(), ended, holder::kill);
                later(killed.delay().plus(killed.healing()), ended, () -> heal(primary));
                later(killed.delay().plus(killed.downtime()), ended, holder::start);
            }
            case HolderFault.Frozen frozen -> {
                later(frozen.delay(), ended, holder::freeze);
                later(frozen.delay().plus(frozen.healing()), ended, () -> heal(primary));
                later(frozen.delay().plus(frozen.length()), ended, holder::unfreeze);
            }
        }
    }

    /** Crashes a replica other than the requested one. It doesn't come back under its identifier. */
    private void crashReplica(String primary, String requested) throws IOException {
        Optional<String> replica = databases.keySet().stream()
                .filter(id -> !id.equals(primary) && !id.equals(requested))
                .filter(id -> group.state().find(id).running())
                .sorted()
                .findFirst();
        if (replica.isPresent()) {
            databases.get(replica.get()).close();
            group.change(state -> state.change(replica.get(), DatabaseState::crashed));
        }
    }

    /** Cuts the primary off from the holder and one more node. Returns the time. */
    private Instant cutOff(String primary) throws IOException {
        int holder = holder();
        databases.get(primary).cutOff(Set.of(holder, (holder + 1) % PromotionRun.NODES.size()));
        return clock.instant();
    }

    private void heal(String database) throws IOException {
        databases.get(database).cutOff(Set.of());
    }

    private void startSuccessor(Departure departure) throws IOException, InterruptedException {
        if (departure == Departure.PLANNED) {
            add(false);
        }
        Thread.sleep(SUCCESSOR_LEAD);
    }

    private Instant depart(Departure departure, String primary, Phaser ended) throws IOException {
        Instant departed = clock.instant();
        Step end = switch (departure) {
            case PLANNED -> {
                group.change(state -> state.change(primary, DatabaseState::leaving));
                yield () -> {
                    group.change(state -> state.remove(primary));
                    databases.remove(primary).close();
                };
            }
            case CRASH -> {
                // The connections end first: an answer after the crash would say that another database leads.
                databases.get(primary).cutOff(PromotionRun.NODES);
                group.change(state -> state.change(primary, DatabaseState::crashed));
                yield () -> {
                    group.start(primary);
                    databases.get(primary).cutOff(Set.of());
                };
            }
            case CUT -> {
                cutOff(primary);
                yield () -> heal(primary);
            }
        };
        later(Duration.ofMillis(random.nextInt(7000, 11_000)), ended, end);
        return departed;
    }

    private String add(boolean cutOff) throws IOException {
        String id = "i-" + Integer.toHexString(0x9b10 + ++lastNumber);
        GroupDatabase database = new GroupDatabase(id, group, ports, executor);
        databases.put(id, database);
        group.add(id);
        registrar.setCutOff(id, cutOff);
        registrar.add(id);
        return id;
    }

    /** Returns the value of an entry as a node sees it. */
    String show(int node, String key, String value) {
        GroupDatabase database = databases.get(key.substring(key.indexOf('/') + 1));
        return database == null ? value : value.replace(Registrar.ADDRESS, database.address(node));
    }

    /** Returns the number of the node that holds the promotion lease, or any if there is none. */
    private int holder() {
        return store.find("duty/holder")
                .map(value -> number(value.substring(0, value.indexOf('#'))))
                .orElse(0);
    }

    private static int number(String node) {
        return Integer.parseInt(node.substring(PromotionRun.NODE_PREFIX.length()));
    }

    private String chooseReplica(String primary) {
        List<String> replicas = databases.keySet().stream()
                .filter(id -> !id.equals(primary))
                .filter(id -> group.state().find(id).running())
                .sorted()
                .toList();
        return replicas.get(random.nextInt(replicas.size()));
    }

    private void confirmFirst(String replica) {
        databases.keySet().forEach(id -> group.setDelay(id, Optional.of(id.equals(replica) ? 1 : SLOW_MILLIS)));
    }

    private void confirmAlike() {
        databases.keySet().forEach(id -> group.setDelay(id, Optional.empty()));
    }

    private interface Step {
        void perform() throws IOException, InterruptedException;
    }

    private void later(Duration delay, Phaser ended, Step step) {
        ended.register();
        executor.execute(() -> {
            try {
                Thread.sleep(delay);
                step.perform();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                ended.arriveAndDeregister();
            }
        });
    }

    @Override
    public void close() throws IOException {
        for (GroupDatabase database : databases.values()) {
            database.close();
        }
    }
}
