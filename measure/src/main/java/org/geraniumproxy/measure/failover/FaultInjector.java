package org.geraniumproxy.measure.failover;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import org.geraniumproxy.measure.bench.DatabaseClients;
import org.geraniumproxy.measure.bench.Deadline;
import org.geraniumproxy.measure.bench.DeploymentException;
import org.geraniumproxy.protocol.FaultRequest;
import org.geraniumproxy.protocol.StatusReply;

/** Makes primaries of a running deployment fail and recover. */
public final class FaultInjector {
    /** Above the failover target of 12 s, so that a late promotion is still measured. */
    private static final Duration PROMOTION_TIMEOUT = Duration.ofSeconds(20);

    /** Maximum time until the old primary replicates from the new one. */
    private static final Duration REPLICATION_TIMEOUT = Duration.ofSeconds(20);

    /** Interval at which a group is polled, which is the resolution of the phases. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

    private final DatabaseClients databases;
    private final Clock clock;

    /**
     * Creates an injector.
     *
     * @param databases clients of the databases and of the store
     * @param clock source of the recorded times
     */
    public FaultInjector(DatabaseClients databases, Clock clock) {
        this.databases = databases;
        this.clock = clock;
    }

    /**
     * Injects a fault into the primary of a group, waits for a promotion, removes the fault and waits until the old
     * primary replicates from the new one.
     *
     * @param group name of the group
     * @param kind how the primary fails
     * @param outage how long the fault lasts after the promotion
     * @return the failover with its observed phases
     * @throws DeploymentException if the group has no primary, no promotion completes in time or the old primary does
     *     not replicate in time
     * @throws InterruptedException if the thread is interrupted
     */
    public ObservedFailover failPrimary(String group, FaultKind kind, Duration outage) throws InterruptedException {
        StatusReply oldPrimary =
                databases.primary(group).orElseThrow(() -> new DeploymentException(group + " has no primary to fail"));
        long revision = databases.recordRevision(group);
        Instant failedAt = clock.instant();
        databases.inject(oldPrimary.getBackendServer(), kind.toRequest());
        FailoverPhases phases;
        StatusReply newPrimary;
        try {
            phases = awaitPromotion(oldPrimary, group, revision);
            newPrimary = databases
                    .primary(group)
                    .orElseThrow(() ->
                            new DeploymentException(group + " lost its new primary immediately after the promotion"));
            Thread.sleep(outage);
        } finally {
            databases.inject(oldPrimary.getBackendServer(), FaultRequest.getDefaultInstance());
        }
        awaitReplication(oldPrimary, newPrimary);
        return new ObservedFailover(
                group, kind, oldPrimary.getBackendServer(), newPrimary.getBackendServer(), failedAt, phases);
    }

    /** Polls the group until another database replicates from the new primary. */
    private FailoverPhases awaitPromotion(StatusReply oldPrimary, String group, long revision)
            throws InterruptedException {
        Deadline deadline = Deadline.after(clock, PROMOTION_TIMEOUT);
        FailoverPhases phases = FailoverPhases.NONE;
        while (!phases.isComplete()) {
            if (deadline.hasPassed()) {
                throw new DeploymentException(group + " got no new primary within " + PROMOTION_TIMEOUT);
            }
            Thread.sleep(POLL_INTERVAL);
            boolean recordChanged = databases.recordRevision(group) != revision;
            phases = phases.observe(
                    clock.instant(),
                    recordChanged,
                    oldPrimary.getReplicatingTerm(),
                    databases.statuses(group, oldPrimary.getBackendServer()));
        }
        return phases;
    }

    private void awaitReplication(StatusReply oldPrimary, StatusReply newPrimary) throws InterruptedException {
        Deadline deadline = Deadline.after(clock, REPLICATION_TIMEOUT);
        while (!replicatesFrom(oldPrimary, newPrimary)) {
            if (deadline.hasPassed()) {
                throw new DeploymentException(oldPrimary.getBackendServer()
                        + " does not replicate from the new primary within " + REPLICATION_TIMEOUT);
            }
            Thread.sleep(POLL_INTERVAL);
        }
    }

    private boolean replicatesFrom(StatusReply oldPrimary, StatusReply newPrimary) {
        return databases
                .status(oldPrimary.getBackendServer())
                .filter(status -> !status.getPrimary())
                .filter(status -> status.getReplicatingTerm() >= newPrimary.getReplicatingTerm())
                .isPresent();
    }
}
