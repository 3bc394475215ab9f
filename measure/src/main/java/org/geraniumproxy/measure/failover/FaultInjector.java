package org.geraniumproxy.measure.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.function.BooleanSupplier;
import org.geraniumproxy.measure.bench.BenchException;
import org.geraniumproxy.measure.bench.Databases;
import org.geraniumproxy.measure.bench.Deadline;
import org.geraniumproxy.protocol.FaultRequest;
import org.geraniumproxy.protocol.StatusReply;

/** Lets primaries of a running deployment fail and recover. */
public final class FaultInjector {
    /** Longest wait for a new primary: the target of 12 s for a failover, and a margin to see a late one. */
    private static final Duration PROMOTION_TIMEOUT = Duration.ofSeconds(20);

    /** Longest wait until the old primary follows the new one. */
    private static final Duration FOLLOW_TIMEOUT = Duration.ofSeconds(20);

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final Databases databases;
    private final Clock clock;

    /**
     * Creates an injector.
     *
     * @param databases the databases
     * @param clock the clock
     */
    public FaultInjector(Databases databases, Clock clock) {
        this.databases = databases;
        this.clock = clock;
    }

    /**
     * Lets the primary of a group fail, waits for the next one and lets the old one recover and follow it.
     *
     * @param group the group
     * @param kind how the primary fails
     * @param outage how long the old primary stays away after the promotion
     * @return what happened
     * @throws BenchException if the group has no primary, or no other one in time
     * @throws InterruptedException if the thread is interrupted
     */
    public FailoverEvent failPrimary(String group, FaultKind kind, Duration outage) throws InterruptedException {
        StatusReply old =
                databases.primary(group).orElseThrow(() -> new BenchException(group + " has no primary to fail"));
        Instant failedAt = clock.instant();
        databases.inject(old.getBackendServer(), kind.request());
        StatusReply next;
        Instant healedAt;
        try {
            await(PROMOTION_TIMEOUT, group + " got no new primary", () -> hasPrimaryAfter(group, old));
            next = databases.primary(group).orElseThrow();
            Thread.sleep(outage);
        } finally {
            databases.inject(old.getBackendServer(), FaultRequest.getDefaultInstance());
            healedAt = clock.instant();
        }
        await(FOLLOW_TIMEOUT, old.getBackendServer() + " does not follow", () -> follows(old, next));
        return new FailoverEvent(group, kind, old.getBackendServer(), next.getBackendServer(), failedAt, healedAt);
    }

    private boolean hasPrimaryAfter(String group, StatusReply old) {
        return databases
                .primary(group)
                .filter(status -> status.getReplicatingTerm() > old.getReplicatingTerm())
                .isPresent();
    }

    private boolean follows(StatusReply old, StatusReply next) {
        return databases
                .status(old.getBackendServer())
                .filter(status -> !status.getPrimary())
                .filter(status -> status.getReplicatingTerm() >= next.getReplicatingTerm())
                .isPresent();
    }

    private void await(Duration timeout, String failure, BooleanSupplier condition) throws InterruptedException {
        Deadline deadline = Deadline.after(clock, timeout);
        while (!condition.getAsBoolean()) {
            if (deadline.isOver()) {
                throw new BenchException(failure + " within " + timeout);
            }
            Thread.sleep(POLL_INTERVAL);
        }
    }
}
