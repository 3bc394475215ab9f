package org.geraniumproxy.proxy.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.failover.FailoverTiming;
import org.geraniumproxy.core.failover.GroupState;
import org.geraniumproxy.core.failover.WriteAcknowledgement;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Requests that wait for status reports of a group: writes until a majority has them, reads until the view changes.
 * While a write waits, each replica holds a status request that is answered once it reaches the write's position, so
 * the wait lasts one replication delay. Runs on the control thread.
 */
final class DurabilityWaiters {
    /**
     * Minimum time between two status requests for the same write to one replica. A replica that has the position but
     * does not replicate the term answers at once.
     */
    private static final Duration MINIMUM_REQUEST_INTERVAL = Duration.ofMillis(20);

    private final SupervisionResources resources;
    private final GroupSupervision supervision;
    private final List<PendingWrite> writes = new ArrayList<>();
    private final List<CompletableFuture<Void>> changes = new ArrayList<>();

    private record PendingWrite(LogPosition position, Instant deadline, CompletableFuture<Boolean> result) {}

    DurabilityWaiters(SupervisionResources resources, GroupSupervision supervision) {
        this.resources = resources;
        this.supervision = supervision;
    }

    boolean isEmpty() {
        return writes.isEmpty();
    }

    void awaitDurable(LogPosition position, Instant deadline, CompletableFuture<Boolean> result) {
        PendingWrite write = new PendingWrite(position, deadline, result);
        writes.add(write);
        evaluateWrites();
        if (!result.isDone()) {
            var unused = resources.after(untilDeadline(deadline), this::evaluateWrites);
            replicas().forEach(replica -> requestReport(replica, write));
        }
    }

    void awaitChange(Instant deadline, CompletableFuture<Void> result) {
        changes.add(result);
        Duration wait = untilDeadline(deadline);
        var unused = resources.after(wait, () -> {
            result.complete(null);
            changes.removeIf(CompletableFuture::isDone);
        });
        replicas().forEach(replica -> {
            long next = supervision.positionOf(replica) + 1;
            var unusedReport = supervision.requestReport(replica, next, min(wait, FailoverTiming.MAXIMUM_STATUS_WAIT));
        });
    }

    /** Completes the writes that the newest state decides and, if the view has changed, the reads. */
    void stateChanged(boolean viewChanged) {
        evaluateWrites();
        if (viewChanged) {
            List<CompletableFuture<Void>> completed = List.copyOf(changes);
            changes.clear();
            completed.forEach(change -> change.complete(null));
        }
    }

    /** Ends all waits. Pending writes complete as not proven durable, because their outcome is unknown. */
    void close() {
        writes.forEach(write -> write.result().complete(false));
        writes.clear();
        stateChanged(true);
    }

    private void evaluateWrites() {
        List<PendingWrite> pending = List.copyOf(writes);
        for (PendingWrite write : pending) {
            WriteAcknowledgement.Decision decision = evaluate(write);
            if (decision != WriteAcknowledgement.Decision.WAIT) {
                writes.remove(write);
                write.result().complete(decision == WriteAcknowledgement.Decision.ACKNOWLEDGE);
            }
        }
    }

    private WriteAcknowledgement.Decision evaluate(PendingWrite write) {
        Instant now = resources.clock().instant();
        if (!now.isBefore(write.deadline())) {
            return WriteAcknowledgement.Decision.SUPERSEDED;
        }
        GroupState state = supervision.state();
        return WriteAcknowledgement.evaluate(
                state.group(), state.view().term(), state.view().statuses().values(), write.position(), now);
    }

    private void requestReport(BackendServer replica, PendingWrite write) {
        if (write.result().isDone()) {
            return;
        }
        Instant sentAt = resources.clock().instant();
        var unused = supervision
                .requestReport(replica, write.position().position(), FailoverTiming.MAXIMUM_STATUS_WAIT)
                .whenCompleteAsync(
                        (status, failure) -> {
                            Duration elapsed =
                                    Duration.between(sentAt, resources.clock().instant());
                            Duration pause = MINIMUM_REQUEST_INTERVAL.minus(elapsed);
                            var ignored = resources.after(
                                    pause.isNegative() ? Duration.ZERO : pause, () -> requestReport(replica, write));
                        },
                        resources.control());
    }

    private List<BackendServer> replicas() {
        GroupState state = supervision.state();
        return state.group().backendServers().stream()
                .filter(server -> !state.view().primary().equals(Optional.of(server.name())))
                .toList();
    }

    private Duration untilDeadline(Instant deadline) {
        Duration remaining = Duration.between(resources.clock().instant(), deadline);
        return remaining.isNegative() ? Duration.ZERO : remaining;
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
