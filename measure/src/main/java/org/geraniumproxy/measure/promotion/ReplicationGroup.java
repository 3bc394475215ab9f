package org.geraniumproxy.measure.promotion;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.function.UnaryOperator;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.measure.promotion.Promotion.Acknowledgement;

/**
 * Group of databases that copy commits to each other in the process of the run. Guards {@link GroupState}, delays what
 * its databases send each other, and compares each promoted log with all acknowledged commits.
 */
final class ReplicationGroup {
    static final String SERVICE = "ledger1";
    static final long FIRST_TERM = 3;

    private static final Duration PROMOTION_DELAY = Duration.ofMillis(300);

    /** Time after which a commit that no replica has confirmed is answered without a promise. */
    private static final Duration COMMIT_TIMEOUT = Duration.ofSeconds(5);

    /** Longest time until a replica has received a commit, in milliseconds, unless set otherwise. */
    private static final int USUAL_DELAY_MILLIS = 8;

    private static final int OK = 200;
    private static final int CONFLICT = 409;

    private final Clock clock;
    private final Executor executor;
    private final SplittableRandom random;
    private final Map<String, Integer> delayMillis = new HashMap<>();
    private final Set<String> notReceiving = new HashSet<>();
    private final List<Acknowledgement> acknowledged = new ArrayList<>();
    private final Set<String> told = new HashSet<>();
    private Instant lastTold = Instant.MIN;
    private final List<Promotion> promotions = new ArrayList<>();
    private final Map<Long, Instant> firstAcknowledged = new HashMap<>();
    private GroupState state = new GroupState(Map.of());
    private long newestToken;

    ReplicationGroup(Clock clock, Executor executor, SplittableRandom random) {
        this.clock = clock;
        this.executor = executor;
        this.random = random;
    }

    synchronized GroupState state() {
        return state;
    }

    synchronized List<Promotion> promotions() {
        return promotions.stream()
                .map(promotion -> promotion.withLost(promotion.lost().stream()
                        .filter(commit -> told.contains(commit.signature()))
                        .toList()))
                .toList();
    }

    /** Records that a caller was told that a commit is complete. Others may be lost. */
    synchronized void tell(String signature) {
        told.add(signature);
        lastTold = clock.instant();
        notifyAll();
    }

    /** Waits until a caller is told of a commit. Returns false at the timeout. */
    synchronized boolean awaitTold(Duration timeout) throws InterruptedException {
        Instant begin = clock.instant();
        while (!lastTold.isAfter(begin)) {
            Duration left = Duration.between(clock.instant(), begin.plus(timeout));
            if (!left.isPositive()) {
                return false;
            }
            wait(left.toMillis() + 1);
        }
        return true;
    }

    /** Adds a database: the primary if there is none, otherwise a replica that holds the log of the primary. */
    synchronized void add(String id) {
        long born = System.currentTimeMillis();
        Optional<DatabaseState> leader = state.primary().map(state::find);
        change(s -> s.put(
                id,
                leader.map(l -> new DatabaseState(l.log(), l.term(), false, 0, false, true, born))
                        .orElseGet(() -> new DatabaseState(
                                new CommitLog(List.of(LogPosition.of(FIRST_TERM, 1000))),
                                FIRST_TERM,
                                true,
                                0,
                                false,
                                true,
                                born))));
    }

    synchronized void change(UnaryOperator<GroupState> change) {
        state = change.apply(state);
        notifyAll();
    }

    /** Sets the longest time until a replica has received a commit; empty for the usual one. */
    synchronized void setDelay(String id, Optional<Integer> millis) {
        millis.ifPresentOrElse(value -> delayMillis.put(id, value), () -> delayMillis.remove(id));
    }

    /** Sets whether a replica receives commits. One that receives again catches up with the primary. */
    synchronized void setReceiving(String id, boolean receives) {
        if (receives) {
            notReceiving.remove(id);
            catchUp(Set.of(id));
        } else {
            notReceiving.add(id);
        }
    }

    /** Starts a crashed database again, which catches up with the primary. */
    synchronized void start(String id) {
        change(s -> s.start(id, System.currentTimeMillis()));
        catchUp(Set.of(id));
    }

    /**
     * Commits at a database.
     *
     * @param signature signature by which a caller is told of the commit
     * @return code of an error, or nothing once the database may acknowledge the commit
     */
    synchronized Optional<String> commit(String id, String signature) throws InterruptedException {
        if (!state.leads(id)) {
            return Optional.of("READONLY");
        }
        change(s -> s.change(id, d -> d.withLog(d.log().append(d.term()))));
        LogPosition position = state.find(id).log().last();
        catchUp(state.databases().keySet());
        Instant end = clock.instant().plus(COMMIT_TIMEOUT);
        while (!state.isConfirmed(id, position)) {
            Duration left = Duration.between(clock.instant(), end);
            if (!state.leads(id) || !left.isPositive()) {
                return Optional.of("TIMEOUT");
            }
            wait(left.toMillis() + 1);
        }
        List<String> holders = state.databases().entrySet().stream()
                .filter(database -> database.getValue().log().contains(position))
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        acknowledged.add(new Acknowledgement(position, id, signature, clock.instant(), holders));
        firstAcknowledged.putIfAbsent(position.term().number(), clock.instant());
        notifyAll();
        return Optional.empty();
    }

    /** Carries out a command at a database. Returns its state afterwards. */
    synchronized DatabaseState control(String id, List<String> command) {
        change(s -> s.control(id, command));
        if (command.getFirst().equals("UNPAUSE")) {
            catchUp(Set.of(id));
        }
        return state.find(id);
    }

    /** Carries out a request for a promotion that was sent at a time. It takes effect 300 ms later. */
    synchronized int requestPromotion(String id, String holder, long token, Instant requestedAt) {
        DatabaseState target = state.find(id);
        if (token < newestToken || target == null || !target.running()) {
            return CONFLICT;
        }
        newestToken = token;
        if (!target.primary()) {
            later(PROMOTION_DELAY, () -> promote(id, holder, token, requestedAt));
        }
        return OK;
    }

    private synchronized void promote(String id, String holder, long token, Instant requestedAt) {
        DatabaseState target = state.find(id);
        if (token < newestToken || target == null || !target.running() || target.primary()) {
            return;
        }
        CommitLog log = target.log();
        List<Acknowledgement> lost = acknowledged.stream()
                .filter(commit -> !log.contains(commit.position()))
                .toList();
        acknowledged.removeAll(new HashSet<>(lost)); // reported once
        change(s -> s.promote(id));
        promotions.add(
                new Promotion(id, state.find(id).term(), log.last(), holder, requestedAt, clock.instant(), lost));
        catchUp(state.databases().keySet());
    }

    /** Waits for the first acknowledged commit after a term. Returns its time, or nothing at the timeout. */
    synchronized Optional<Instant> awaitAcknowledgedAfter(long term, Duration timeout) throws InterruptedException {
        Instant end = clock.instant().plus(timeout);
        while (true) {
            Optional<Instant> first = firstAcknowledged.entrySet().stream()
                    .filter(entry -> entry.getKey() > term)
                    .map(Map.Entry::getValue)
                    .min(Instant::compareTo);
            Duration left = Duration.between(clock.instant(), end);
            if (first.isPresent() || !left.isPositive()) {
                return first;
            }
            wait(left.toMillis() + 1);
        }
    }

    /** Waits until a database leads. Returns false at the timeout. */
    synchronized boolean awaitPrimary(Duration timeout) throws InterruptedException {
        Instant end = clock.instant().plus(timeout);
        while (state.primary().isEmpty()) {
            Duration left = Duration.between(clock.instant(), end);
            if (!left.isPositive()) {
                return false;
            }
            wait(left.toMillis() + 1);
        }
        return true;
    }

    /** Sends the log of the primary to replicas. */
    private void catchUp(Set<String> replicas) {
        state.primary().ifPresent(primary -> {
            DatabaseState source = state.find(primary);
            replicas.stream()
                    .filter(replica -> !replica.equals(primary))
                    .forEach(replica -> later(
                            Duration.ofMillis(
                                    random.nextInt(delayMillis.getOrDefault(replica, USUAL_DELAY_MILLIS)) + 1),
                            () -> receive(replica, primary, source)));
        });
    }

    private synchronized void receive(String replica, String primary, DatabaseState source) {
        if (!notReceiving.contains(replica)) {
            change(s -> s.receive(replica, primary, source.term(), source.log()));
        }
    }

    private void later(Duration delay, Runnable action) {
        executor.execute(() -> {
            try {
                Thread.sleep(delay);
                action.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }
}
