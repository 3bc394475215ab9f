package org.geraniumproxy.measure.stop;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;
import org.geraniumproxy.measure.stop.ClientKind.Work;

/**
 * Clients of a run.
 *
 * @param clients behaviour of each client
 * @param probesPerStop sessions of one operation that connect to a stopping node around the close of its listener
 * @param probeEarliest earliest time of such a session after SIGTERM
 * @param probeLatest latest time of such a session after SIGTERM
 */
record LoadProfile(List<ClientKind> clients, int probesPerStop, Duration probeEarliest, Duration probeLatest) {
    LoadProfile {
        clients = List.copyOf(clients);
    }

    /** Few sessions of one operation each, so that a node often has none when its listener closes. */
    static LoadProfile oneOperation() {
        List<ClientKind> clients = new ArrayList<>();
        clients.addAll(Collections.nCopies(2, new ClientKind.OneOperation(Work.SHORT, Duration.ofMillis(100), false)));
        clients.addAll(Collections.nCopies(1, new ClientKind.OneOperation(Work.READS, Duration.ofMillis(50), false)));
        return new LoadProfile(clients, 1, Duration.ofMillis(2140), Duration.ofMillis(2200));
    }

    /** Sessions that stay, with statements of 0.2 to 2.5 s. */
    static LoadProfile staying() {
        List<ClientKind> clients = new ArrayList<>();
        clients.addAll(Collections.nCopies(20, new ClientKind.Staying(Work.LONG, Duration.ZERO)));
        clients.addAll(Collections.nCopies(6, new ClientKind.OneOperation(Work.SHORT, Duration.ofMillis(100), false)));
        return new LoadProfile(clients, 0, Duration.ZERO, Duration.ZERO);
    }

    /** Every kind of client, in random numbers. */
    static LoadProfile mixed(RandomGenerator random) {
        Duration brief = Duration.ofMillis(20);
        List<ClientKind> kinds = List.of(
                new ClientKind.OneOperation(Work.SHORT, brief, false),
                new ClientKind.OneOperation(Work.SHORT, Duration.ofMillis(150), true),
                new ClientKind.OneOperation(Work.LONG, brief, true),
                new ClientKind.Staying(Work.SHORT, brief),
                new ClientKind.Staying(Work.READS, Duration.ofMillis(300)),
                new ClientKind.Staying(Work.LONG, Duration.ZERO),
                new ClientKind.Staying(Work.NEAR_TIMEOUT, Duration.ofMillis(100)),
                new ClientKind.Transactions(Work.SHORT, Duration.ofMillis(150)),
                new ClientKind.Transactions(Work.LONG, Duration.ofMillis(50)),
                new ClientKind.Prepared(Work.SHORT, brief),
                new ClientKind.Prepared(Work.LONG, brief),
                new ClientKind.SlowReader(new Work("archive", Duration.ofSeconds(3), 50, 300, false), brief));
        List<ClientKind> clients = new ArrayList<>();
        kinds.forEach(kind -> clients.addAll(Collections.nCopies(random.nextInt(5), kind)));
        return new LoadProfile(clients, random.nextInt(3), Duration.ofSeconds(2), Duration.ofMillis(2300));
    }

    /** Returns one of the profiles by seed: a third of the seeds each. */
    static LoadProfile ofSeed(long seed, RandomGenerator random) {
        return switch ((int) Math.floorMod(seed, 3L)) {
            case 0 -> mixed(random);
            case 1 -> oneOperation();
            default -> staying();
        };
    }
}
