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

/** Three databases, two or three supervisors, callers and random faults, all from one seed. */
final class SimulatedGroup {
    static final long FAULTS_END_MILLIS = 15_000;
    static final long RUN_END_MILLIS = FAULTS_END_MILLIS + 14_000;
    private static final long SETTLE_MILLIS = 1_000;
    private static final int WRITE_INTERVAL_MILLIS = 60;

    /** Figures of one run. */
    record Result(int acknowledgedWrites, int promotions, long recoveryMillis) {}

    private record Acknowledged(long write, LogPosition position, long atMillis) {}

    private final SimulatedTime time = new SimulatedTime();
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
        network = new SimulatedNetwork(time, random);
        store = new SimulatedStore(network);
        Databases.NAMES.forEach(name -> databases.put(name, new FakeDatabase(name, time, network)));
        int count = 2 + random.nextInt(2);
        for (int index = 0; index < count; index++) {
            supervisors.add(new SimulatedSupervisor(index, Math.min(index, 1), this, random));
        }
        time.after(WRITE_INTERVAL_MILLIS, this::write);
    }

    /** Lost and duplicated messages only. */
    static SimulatedGroup withoutFaults(long seed) {
        return new SimulatedGroup(seed);
    }

    static SimulatedGroup withFaults(long seed) {
        SimulatedGroup group = new SimulatedGroup(seed);
        group.time.after(group.random.nextInt(2_000), group::fault);
        group.time.after(FAULTS_END_MILLIS, group::endFaults);
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

    /** Writes that a primary has committed, whether they were acknowledged or not. */
    List<Long> committedBy(FakeDatabase database) {
        return database.log().stream().map(FakeDatabase.Entry::write).distinct().toList();
    }

    Result run() {
        time.runUntil(FAULTS_END_MILLIS);
        while (firstAcknowledgedAfterFaults() == Long.MAX_VALUE && time.millis() < RUN_END_MILLIS) {
            time.runUntil(time.millis() + 100);
        }
        long recovered = firstAcknowledgedAfterFaults();
        time.runUntil(time.millis() + SETTLE_MILLIS);
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

    SimulatedTime time() {
        return time;
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

    void reported(String supervisor, String message) {
        reports.add(time.millis() + " " + supervisor + " " + message);
    }

    void acknowledged(long write, LogPosition position, BackendServerName primary) {
        BackendServerName known = acknowledgingPrimaries.putIfAbsent(position.term(), primary);
        InvariantViolation.check(known == null || known.equals(primary), "two primaries acknowledged in one term");
        acknowledged.putIfAbsent(write, new Acknowledged(write, position, time.millis()));
    }

    /** Every acknowledged write of a lower term must be in the history of a new primary, and stay there. */
    void promoted(FakeDatabase database, Term term) {
        promotions++;
        acknowledged.values().stream()
                .filter(write -> term.isAfter(write.position().term()))
                .forEach(write -> InvariantViolation.check(
                        holds(database, write), "lost at promotion to " + term.number() + ": " + write));
    }

    List<Long> lostWrites() {
        FakeDatabase primary = primary();
        return acknowledged.values().stream()
                .filter(write -> !holds(primary, write))
                .map(Acknowledged::write)
                .toList();
    }

    private static boolean holds(FakeDatabase database, Acknowledged write) {
        int index = (int) write.position().position() - 1;
        return index < database.log().size() && database.log().get(index).write() == write.write();
    }

    long termOf(FakeDatabase database) {
        return database.status(time.clock(java.time.Duration.ZERO)).fencedTerm().number();
    }

    private void write() {
        time.after(WRITE_INTERVAL_MILLIS, this::write);
        long write = ++writes;
        writtenAtMillis.put(write, time.millis());
        supervisors.get(random.nextInt(supervisors.size())).write(write);
    }

    private void fault() {
        if (time.millis() >= FAULTS_END_MILLIS) {
            return;
        }
        time.after(200 + random.nextInt(2_500), this::fault);
        long duration = random.nextLong(50, 4_050);
        switch (random.nextInt(6)) {
            case 0, 1 ->
                isolate(databaseAt(random.nextInt(databases.size())).name().value(), duration);
            case 2 -> isolate(anySupervisor().name(), duration);
            case 3 -> {
                SimulatedSupervisor paused = anySupervisor();
                paused.pause();
                time.after(duration, paused::resume);
            }
            case 4 -> {
                store.setReplying(false);
                time.after(duration, () -> store.setReplying(true));
            }
            default -> anySupervisor().restart();
        }
    }

    /** Ends the random faults; in half of the runs the primary and one supervisor die at this moment for good. */
    private void endFaults() {
        network.endFaults();
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
        time.after(durationMillis, () -> {
            if (time.millis() < FAULTS_END_MILLIS) {
                network.reconnect(node);
            }
        });
    }

    private SimulatedSupervisor anySupervisor() {
        return supervisors.get(random.nextInt(supervisors.size()));
    }

    private FakeDatabase databaseAt(int index) {
        return databases.get(Databases.NAMES.get(index));
    }
}
