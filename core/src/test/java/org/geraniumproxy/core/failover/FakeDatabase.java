package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/** In-memory database with fencing by term, a replicated log and truncation of divergent log tails. */
final class FakeDatabase {
    private static final int REPLICATION_INTERVAL_MILLIS = 20;

    /** Log entry: the term in which a write was committed and the identifier of the write. */
    record Entry(long term, long write) {}

    private final BackendServerName name;
    private final SimulatedScheduler scheduler;
    private final SimulatedNetwork network;
    private List<Entry> log = List.of();
    private TreeMap<Long, Long> termStarts = new TreeMap<>();
    private long fencedTerm;
    private long replicatingTerm;
    private boolean primary;
    private boolean leaving;
    private Optional<FakeDatabase> source = Optional.empty();
    private long sourceTerm;
    private long primaryContactMillis;

    FakeDatabase(BackendServerName name, SimulatedScheduler scheduler, SimulatedNetwork network) {
        this.name = name;
        this.scheduler = scheduler;
        this.network = network;
        scheduler.schedule(REPLICATION_INTERVAL_MILLIS, this::requestEntries);
    }

    BackendServerName name() {
        return name;
    }

    List<Entry> log() {
        return log;
    }

    boolean isPrimary() {
        return primary;
    }

    void markLeaving() {
        leaving = true;
    }

    boolean fence(long term) {
        if (term < fencedTerm) {
            return false;
        }
        raiseFencedTerm(term);
        return true;
    }

    OptionalLong promote(long term) {
        if (term != fencedTerm || (replicatingTerm == term && !primary)) {
            return OptionalLong.empty();
        }
        if (!primary) {
            primary = true;
            replicatingTerm = term;
            source = Optional.empty();
            termStarts.put(term, (long) log.size());
        }
        return OptionalLong.of(termStarts.get(term));
    }

    void follow(long term, FakeDatabase newSource) {
        if (term < fencedTerm || newSource == this) {
            return;
        }
        raiseFencedTerm(term);
        if (sourceTerm != term) {
            source = Optional.of(newSource);
            sourceTerm = term;
            primaryContactMillis = scheduler.currentMillis();
        }
    }

    /** Commits a write and returns its position, or empty if it was refused without effect. */
    OptionalLong commit(long term, long write) {
        if (!primary || fencedTerm != term) {
            return OptionalLong.empty();
        }
        List<Entry> longer = new ArrayList<>(log);
        longer.add(new Entry(term, write));
        log = List.copyOf(longer);
        return OptionalLong.of(log.size());
    }

    BackendStatus status(Instant requestSentAt) {
        List<TermStart> starts = termStarts.entrySet().stream()
                .map(start -> new TermStart(Term.of(start.getKey()), start.getValue()))
                .toList();
        return new BackendStatus(
                name,
                requestSentAt,
                Term.of(fencedTerm),
                Term.of(replicatingTerm),
                Term.of(log.isEmpty() ? 0 : log.getLast().term()),
                log.size(),
                primary,
                primary ? Duration.ZERO : Duration.ofMillis(scheduler.currentMillis() - primaryContactMillis),
                0,
                leaving,
                starts);
    }

    private void raiseFencedTerm(long term) {
        if (term > fencedTerm) {
            fencedTerm = term;
            replicatingTerm = 0;
            primary = false;
            source = Optional.empty();
        }
    }

    private void requestEntries() {
        scheduler.schedule(REPLICATION_INTERVAL_MILLIS, this::requestEntries);
        if (source.isPresent()) {
            FakeDatabase from = source.get();
            long term = sourceTerm;
            List<Entry> own = log;
            network.send(name.value(), from.name.value(), () -> from.sendEntries(this, term, own));
        }
    }

    private void sendEntries(FakeDatabase replica, long term, List<Entry> replicaLog) {
        if (!primary || fencedTerm != term) {
            return;
        }
        int common = 0;
        while (common < Math.min(log.size(), replicaLog.size())
                && log.get(common).equals(replicaLog.get(common))) {
            common++;
        }
        int commonLength = common;
        List<Entry> entries = log.subList(common, log.size());
        TreeMap<Long, Long> starts = new TreeMap<>(termStarts);
        network.send(
                name.value(),
                replica.name.value(),
                () -> replica.applyEntries(this, term, commonLength, entries, starts));
    }

    private void applyEntries(
            FakeDatabase from, long term, int commonLength, List<Entry> entries, Map<Long, Long> starts) {
        if (fencedTerm != term || source.filter(from::equals).isEmpty()) {
            return;
        }
        primaryContactMillis = scheduler.currentMillis();
        if (replicatingTerm == term && commonLength + entries.size() <= log.size()) {
            return;
        }
        List<Entry> copied = new ArrayList<>(log.subList(0, commonLength));
        copied.addAll(entries);
        log = List.copyOf(copied);
        termStarts = new TreeMap<>(starts);
        replicatingTerm = term;
    }
}
