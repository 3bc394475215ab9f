package org.geraniumproxy.core.failover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;

/** Simulation of three databases, two or three supervisors, callers and random faults, determined by one seed. */
final class SimulatedGroup {
    static final long FAULTS_END_MILLIS = 15_000;
    static final long RUN_END_MILLIS = FAULTS_END_MILLIS + 14_000;
    private static final long SETTLE_MILLIS = 1_000;
    private static final int WRITE_INTERVAL_MILLIS = 60;

    /**
     * Statistics of one run. The recovery time counts from the end of the random faults to the first acknowledgement of
     * a later write.
     */
    record Result(int acknowledgedWrites, int promotions, long recoveryMillis) {}

    private record Acknowledged(long write, LogPosition position, long atMillis) {}

    private final SimulatedScheduler scheduler = new SimulatedScheduler();
    private final Random random;
    private final SimulatedNetwork network;
    private final SimulatedStore store;
    private final Map<BackendServerName, FakeDatabase> databases = new HashMap<>();
    private final List<SimulatedSupervisor> supervisors = new ArrayList<>();
    private final Map<Long, Acknowledged> acknowledged = new HashMap<>();
    private final Map<Long, Long> writtenAtMillis = new HashMap<>();
    private final Map<Term, BackendServerName> acknowledgingPrimaries = new HashMap<>();
    private final List<String> reports = new ArrayList<>();
    private int promotions;
    private long writes;

    private SimulatedGroup(long seed) {
        random = new Random(seed);
        network = new SimulatedNetwork(scheduler, random);
        store = new SimulatedStore(network);
        DatabaseFixtures.NAMES.forEach(name -> databases.put(name, new FakeDatabase(name, scheduler, network)));
        int count = 2 + random.nextInt(2);
        for (int index = 0; index < count; index++) {
            supervisors.add(new SimulatedSupervisor(index, Math.min(index, 1), this, random));
        }
        scheduler.schedule(WRITE_INTERVAL_MILLIS, this::write);
    }

    /** Creates a group whose only faults are lost and duplicated messages. */
    static SimulatedGroup withoutFaults(long seed) {
        return new SimulatedGroup(seed);
    }

    static SimulatedGroup withFaults(long seed) {
        SimulatedGroup group = new SimulatedGroup(seed);
        group.scheduler.schedule(group.random.nextInt(2_000), group::injectFault);
        group.scheduler.schedule(FAULTS_END_MILLIS, group::endFaults);
        return group;
    }

    FakeDatabase primary() {
        return databases.values().stream()
                .filter(FakeDatabase::isPrimary)
                .max((first, second) -> Long.compare(termOf(first), termOf(second)))
                .orElseThrow();
    }

    int promotions() {
        return promotions;
    }

    /** Returns the writes in the log of a database, acknowledged or not. */
    List<Long> committedBy(FakeDatabase database) {
        return database.log().stream().map(FakeDatabase.Entry::write).distinct().toList();
    }

    Result run() {
        scheduler.runUntil(FAULTS_END_MILLIS);
        while (firstAcknowledgedAfterFaults() == Long.MAX_VALUE && scheduler.currentMillis() < RUN_END_MILLIS) {
            scheduler.runUntil(scheduler.currentMillis() + 100);
        }
        long recovered = firstAcknowledgedAfterFaults();
        scheduler.runUntil(scheduler.currentMillis() + SETTLE_MILLIS);
        return new Result(acknowledged.size(), promotions, recovered - FAULTS_END_MILLIS);
    }

    private long firstAcknowledgedAfterFaults() {
        return acknowledged.values().stream()
                .filter(write -> writtenAtMillis.get(write.write()) >= FAULTS_END_MILLIS)
                .mapToLong(Acknowledged::atMillis)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    List<String> reports() {
        return reports;
    }

    SimulatedScheduler scheduler() {
        return scheduler;
    }

    SimulatedNetwork network() {
        return network;
    }

    SimulatedStore store() {
        return store;
    }

    FakeDatabase database(BackendServerName name) {
        return databases.get(name);
    }

    void addReport(String supervisor, String message) {
        reports.add(scheduler.currentMillis() + " " + supervisor + " " + message);
    }

    void recordAcknowledgement(long write, LogPosition position, BackendServerName primary) {
        BackendServerName known = acknowledgingPrimaries.putIfAbsent(position.term(), primary);
        InvariantViolation.check(known == null || known.equals(primary), "two primaries acknowledged in one term");
        acknowledged.putIfAbsent(write, new Acknowledged(write, position, scheduler.currentMillis()));
    }

    /** Checks that the log of a new primary contains every acknowledged write of lower terms. */
    void recordPromotion(FakeDatabase database, Term term) {
        promotions++;
        acknowledged.values().stream()
                .filter(write -> term.isAfter(write.position().term()))
                .forEach(write -> InvariantViolation.check(
                        contains(database, write),
                        "acknowledged write lost at promotion to term " + term.number() + ": " + write));
    }

    List<Long> lostWrites() {
        FakeDatabase primary = primary();
        return acknowledged.values().stream()
                .filter(write -> !contains(primary, write))
                .map(Acknowledged::write)
                .toList();
    }

    private static boolean contains(FakeDatabase database, Acknowledged write) {
        int index = (int) write.position().position() - 1;
        return index < database.log().size() && database.log().get(index).write() == write.write();
    }

    long termOf(FakeDatabase database) {
        return database.status(scheduler.clock(java.time.Duration.ZERO))
                .fencedTerm()
                .number();
    }

    private void write() {
        scheduler.schedule(WRITE_INTERVAL_MILLIS, this::write);
        long write = ++writes;
        writtenAtMillis.put(write, scheduler.currentMillis());
        supervisors.get(random.nextInt(supervisors.size())).write(write);
    }

    private void injectFault() {
        if (scheduler.currentMillis() >= FAULTS_END_MILLIS) {
            return;
        }
        scheduler.schedule(200 + random.nextInt(2_500), this::injectFault);
        long duration = random.nextLong(50, 4_050);
        switch (random.nextInt(6)) {
            case 0, 1 ->
                isolate(databaseAt(random.nextInt(databases.size())).name().value(), duration);
            case 2 -> isolate(randomSupervisor().name(), duration);
            case 3 -> {
                SimulatedSupervisor paused = randomSupervisor();
                paused.pause();
                scheduler.schedule(duration, paused::resume);
            }
            case 4 -> {
                store.setReplying(false);
                scheduler.schedule(duration, () -> store.setReplying(true));
            }
            default -> randomSupervisor().restart();
        }
    }

    /** Ends the random faults. In half of the runs the primary and one supervisor fail permanently at this time. */
    private void endFaults() {
        network.stopMessageLoss();
        databases.keySet().forEach(name -> network.reconnect(name.value()));
        supervisors.forEach(supervisor -> network.reconnect(supervisor.name()));
        supervisors.forEach(SimulatedSupervisor::resume);
        store.setReplying(random.nextBoolean());
        if (random.nextBoolean()) {
            databases.values().stream()
                    .filter(FakeDatabase::isPrimary)
                    .findFirst()
                    .ifPresent(primary -> network.isolate(primary.name().value()));
            network.isolate(supervisors.getFirst().name());
            supervisors.get(1).setRank(0);
        }
    }

    private void isolate(String node, long durationMillis) {
        network.isolate(node);
        scheduler.schedule(durationMillis, () -> {
            if (scheduler.currentMillis() < FAULTS_END_MILLIS) {
                network.reconnect(node);
            }
        });
    }

    private SimulatedSupervisor randomSupervisor() {
        return supervisors.get(random.nextInt(supervisors.size()));
    }

    private FakeDatabase databaseAt(int index) {
        return databases.get(DatabaseFixtures.NAMES.get(index));
    }
}
