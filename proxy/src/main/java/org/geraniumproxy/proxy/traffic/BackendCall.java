package org.geraniumproxy.proxy.traffic;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.control.ControlSnapshot;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.failover.GroupView;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.pool.BackendCommand;
import org.geraniumproxy.core.pool.BackendReply;
import org.geraniumproxy.core.routing.Access;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.proxy.backend.BackendConnection;
import org.geraniumproxy.proxy.pool.SlotPool;
import org.geraniumproxy.proxy.pool.SlotPool.SlotGrant;
import org.geraniumproxy.proxy.pool.SlotPool.SlotLease;
import org.geraniumproxy.proxy.telemetry.Hop;

/** Takes a slot and runs one command on its connection. */
final class BackendCall {
    private final TrafficContext context;
    private final SlotPool pool;

    BackendCall(TrafficContext context, SlotPool pool) {
        this.context = context;
        this.pool = pool;
    }

    /** How a call ended. */
    sealed interface CallEnd {
        /** The command was handed to the connection, or the connection turned out to be closed. */
        record Replied(BackendReply reply) implements CallEnd {}

        /** No slot was granted; nothing was sent. */
        record NotGranted(Outcome outcome) implements CallEnd {}

        /** The group changed while the request waited for the slot; nothing was sent. */
        record PlacementChanged() implements CallEnd {}
    }

    /** Result of asking for a slot. */
    sealed interface Slot {
        /** The slot is held and the placement still holds. */
        record Held(SlotLease lease) implements Slot {}

        /** There is no slot. */
        record None(CallEnd end) implements Slot {}
    }

    CallEnd run(GroupRequest request, Placed.At placed, SendGuard guard) {
        return switch (acquire(request, placed)) {
            case Slot.None none -> none.end();
            case Slot.Held held -> {
                try {
                    BackendCommand command =
                            new BackendCommand.Execute(request.statement(), request.access() == Access.WRITE);
                    guard.beforeSend();
                    BackendReply reply = execute(held.lease().connection(), command, request, placed);
                    if (reply instanceof BackendReply.NotSent) {
                        guard.notSent();
                    }
                    yield new CallEnd.Replied(reply);
                } finally {
                    held.lease().release();
                }
            }
        };
    }

    /** Waits for a slot and checks that the request still belongs on its connection. */
    Slot acquire(GroupRequest request, Placed.At placed) {
        InvariantViolation.check(
                !placed.replica() || request.access() == Access.READ, "a write was placed at a replica");
        Instant queuedAt = context.now();
        SlotGrant grant = context.tracing()
                .inSpan(
                        Hop.QUEUE,
                        () -> pool.acquire(request.group(), placed.server(), request.customer(), request.deadline())
                                .join());
        context.metrics().queued(Duration.between(queuedAt, context.now()));
        return switch (grant) {
            case SlotGrant.Refused refused ->
                new Slot.None(new CallEnd.NotGranted(Outcome.notRun(refused.reason(), refused.detail())));
            case SlotGrant.Granted granted -> {
                if (!stillHolds(request, placed)) {
                    granted.lease().release();
                    yield new Slot.None(new CallEnd.PlacementChanged());
                }
                InvariantViolation.check(
                        granted.lease().connection().isClean(), "a connection that is not clean was granted");
                yield new Slot.Held(granted.lease());
            }
        };
    }

    /** Runs a command; a command that has no answer at the deadline is broken off with its connection. */
    BackendReply execute(BackendConnection connection, BackendCommand command, GroupRequest request, Placed.At placed) {
        return context.tracing().inSpan(Hop.BACKEND_SERVER, () -> {
            CompletableFuture<BackendReply> reply =
                    connection.execute(command, placed.view().term(), request.customer());
            CompletableFuture<Void> deadline = context.delay().after(context.timeUntil(request.deadline()));
            var unused = deadline.thenRunAsync(() -> closeUnanswered(connection, reply), context.executor());
            BackendReply answered = reply.join();
            deadline.cancel(false);
            return answered;
        });
    }

    private static void closeUnanswered(BackendConnection connection, CompletableFuture<BackendReply> reply) {
        if (!reply.isDone()) {
            connection.close();
        }
    }

    private boolean stillHolds(GroupRequest request, Placed.At placed) {
        ControlSnapshot snapshot = context.snapshot();
        GroupView view = snapshot.groups().get(request.group());
        return view != null
                && snapshot.isViewCurrent(context.now())
                && view.term().equals(placed.view().term())
                && view.primary().equals(placed.view().primary());
    }
}
