package org.geraniumproxy.measure.stop;

import java.io.IOException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.geraniumproxy.measure.process.NodeProcess;
import org.geraniumproxy.measure.stop.ClientKind.Work;
import org.geraniumproxy.measure.stop.ClientRequest.Part;

/**
 * Clients of a run, one virtual thread each. They use their connections until these end. The first values of
 * {@link java.util.Random} are alike for seeds that differ little, so the clients use another generator.
 */
final class LoadClients implements AutoCloseable {
    private static final Duration RETRY_PAUSE = Duration.ofMillis(20);
    private static final int LONG_ROW_BYTES = 200_000;

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicLong lastId = new AtomicLong();
    private final long seed;
    private final LoadProfile profile;
    private final List<NodeProcess> nodes;
    private final Balancer balancer;
    private final RunJournal journal;
    private final Clock clock;
    private volatile boolean stopped;

    LoadClients(
            long seed,
            LoadProfile profile,
            List<NodeProcess> nodes,
            Balancer balancer,
            RunJournal journal,
            Clock clock) {
        this.seed = seed;
        this.profile = profile;
        this.nodes = List.copyOf(nodes);
        this.balancer = balancer;
        this.journal = journal;
        this.clock = clock;
    }

    void start() {
        for (int i = 0; i < profile.clients().size(); i++) {
            int number = i;
            executor.execute(() -> repeat(profile.clients().get(number), number));
        }
    }

    /** Lets sessions of one operation connect to a node around the time at which it closes its listener. */
    void connectDuringStop(NodeProcess node, Instant terminated, RandomGenerator random) {
        ClientKind kind = new ClientKind.OneOperation(Work.MEDIUM, Duration.ZERO, true);
        for (int i = 0; i < profile.probesPerStop(); i++) {
            RandomGenerator ownRandom = new SplittableRandom(random.nextLong());
            Instant start = terminated.plusMillis(ownRandom.nextLong(
                    profile.probeEarliest().toMillis(), profile.probeLatest().toMillis() + 1));
            executor.execute(() -> {
                try {
                    Thread.sleep(Duration.between(clock.instant(), start));
                    runSession(kind, node, ownRandom);
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
    }

    private void repeat(ClientKind kind, int number) {
        RandomGenerator random = new SplittableRandom(seed * 1_000 + number);
        try {
            while (!stopped) {
                boolean direct = kind instanceof ClientKind.OneOperation one && one.direct();
                NodeProcess node = direct ? nodes.get(number % nodes.size()) : balancer.choose(random);
                Thread.sleep(runSession(kind, node, random) ? kind.pause() : RETRY_PAUSE);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns false if the node refused the session. */
    private boolean runSession(ClientKind kind, NodeProcess node, RandomGenerator random) throws InterruptedException {
        try (ClientSession session = new ClientSession(journal, clock, node, kind)) {
            boolean repeats = prepare(kind, session);
            while (!stopped && session.isIdle()) {
                operate(kind, session, random);
                if (!repeats) {
                    return true;
                }
                Thread.sleep(kind.pause());
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Prepares a session for its operations. Returns whether it serves more than one. */
    private boolean prepare(ClientKind kind, ClientSession session) throws InterruptedException {
        return switch (kind) {
            case ClientKind.OneOperation _ -> false;
            case ClientKind.Staying _, ClientKind.Transactions _, ClientKind.SlowReader _ -> true;
            case ClientKind.Prepared _ ->
                single(session, "SETOPT zone utc")
                        && single(session, "PREPARE read FETCH q1")
                        && single(session, "PREPARE write PUT q2");
        };
    }

    private void operate(ClientKind kind, ClientSession session, RandomGenerator random) throws InterruptedException {
        Work work = kind.work();
        switch (kind) {
            case ClientKind.OneOperation _, ClientKind.Staying _ -> single(session, work.statement(random));
            case ClientKind.Transactions transactions -> transact(transactions, session, random);
            case ClientKind.Prepared _ -> {
                boolean writes = work.writes() && random.nextBoolean();
                String item = work.item(random);
                single(session, writes ? "EXECUTE write " + item + " data" : "EXECUTE read " + item);
            }
            case ClientKind.SlowReader _ -> single(session, "FETCH " + work.item(random) + "s" + LONG_ROW_BYTES);
        }
    }

    private boolean single(ClientSession session, String text) throws InterruptedException {
        String id = nextId();
        return session.request(id, id, Part.SINGLE, text);
    }

    private void transact(ClientKind.Transactions kind, ClientSession session, RandomGenerator random)
            throws InterruptedException {
        String attempt = nextId();
        boolean holds = session.request(attempt, attempt, Part.FIRST_OF_TRANSACTION, "BEGIN");
        int statements = random.nextInt(1, 5);
        for (int i = 0; i < statements && holds; i++) {
            Thread.sleep(kind.pause());
            holds = session.request(
                    nextId(), attempt, Part.INSIDE_TRANSACTION, kind.work().statement(random));
        }
        if (holds) {
            session.request(nextId(), attempt, Part.INSIDE_TRANSACTION, random.nextInt(5) == 0 ? "ABORT" : "COMMIT");
        }
    }

    private String nextId() {
        return "s" + seed + "r" + lastId.incrementAndGet();
    }

    @Override
    public void close() {
        stopped = true;
        executor.close();
    }
}
