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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.random.RandomGenerator;
import org.geraniumproxy.measure.process.PortAllocator;
import org.geraniumproxy.measure.process.StoreStandIn;
import org.geraniumproxy.measure.promotion.Scenario.Departure;
import org.geraniumproxy.measure.promotion.Scenario.Disturbance;

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

    /** Time between the entry of a new replica and the notice of the primary. */
    private static final Duration SUCCESSOR_LEAD = Duration.ofMillis(1500);

    /** Longest time until a replica other than the first to confirm has received a commit, in milliseconds. */
    private static final int SLOW_MILLIS = 40;

    private final ReplicationGroup group;
    private final StoreStandIn store;
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
            Clock clock,
            PortAllocator ports,
            ExecutorService executor,
            RandomGenerator random) {
        this.group = group;
        this.store = store;
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
        Scenario scenario = name.create(random);
        CountDownLatch ended = new CountDownLatch(2);
        String primary = group.state().primary().orElseThrow();
        long term = group.state().find(primary).term();
        Instant departed = begin(scenario, primary, ended);
        Optional<Instant> first = group.awaitAcknowledgedAfter(
                term, scenario.departure() == Departure.CUT ? CUT_TIMEOUT : PROMOTION_TIMEOUT);
        if (!last) {
            ended.await();
            Thread.sleep(CATCH_UP_TIME); // a database that has just started proves nothing in a promotion
        }
        return first.map(at -> Duration.between(departed, at));
    }

    /** Returns the time of the departure. */
    private Instant begin(Scenario scenario, String primary, CountDownLatch ended)
            throws IOException, InterruptedException {
        switch (scenario.disturbance()) {
            case Disturbance.None _ -> {
                startSuccessor(scenario.departure());
                ended.countDown();
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
        }
    }

    private void startSuccessor(Departure departure) throws IOException, InterruptedException {
        if (departure == Departure.PLANNED) {
            add(false);
        }
        Thread.sleep(SUCCESSOR_LEAD);
    }

    private Instant depart(Departure departure, String primary, CountDownLatch ended) throws IOException {
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
                int holder = holder();
                databases.get(primary).cutOff(Set.of(holder, (holder + 1) % PromotionRun.NODES.size()));
                yield () -> databases.get(primary).cutOff(Set.of());
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
                .map(value -> value.substring(PromotionRun.NODE_PREFIX.length(), value.indexOf('#')))
                .map(Integer::valueOf)
                .orElse(0);
    }

    private String chooseReplica(String primary) {
        List<String> replicas = databases.keySet().stream()
                .filter(id -> !id.equals(primary))
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
        void perform() throws IOException;
    }

    private void later(Duration delay, CountDownLatch ended, Step step) {
        executor.execute(() -> {
            try {
                Thread.sleep(delay);
                step.perform();
                ended.countDown();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
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
