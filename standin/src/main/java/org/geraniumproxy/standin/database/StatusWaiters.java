package org.geraniumproxy.standin.database;

import io.grpc.Status;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.geraniumproxy.protocol.StatusReply;
import org.geraniumproxy.protocol.StatusRequest;
import org.geraniumproxy.standin.runtime.FaultGate;
import org.geraniumproxy.standin.runtime.Owner;
import org.geraniumproxy.standin.runtime.Reply;

/** Status requests that wait for a position. Confined to the owner. */
final class StatusWaiters {
    private record Waiter(long awaitedPosition, Instant end, Reply<StatusReply> reply) {}

    private final Owner owner;
    private final FaultGate gate;
    private final Supplier<StatusReply> status;
    private final List<Waiter> waiters = new ArrayList<>();

    StatusWaiters(Owner owner, FaultGate gate, Supplier<StatusReply> status) {
        this.owner = owner;
        this.gate = gate;
        this.status = status;
    }

    void add(StatusRequest request, Reply<StatusReply> reply) {
        Duration wait = Duration.ofMillis(request.getWaitMillis());
        waiters.add(new Waiter(request.getAwaitedPosition(), owner.now().plus(wait), reply));
        answerReady(false);
        owner.schedule(wait, () -> answerReady(false));
    }

    /** Answers the requests whose position is reached or whose wait is over, or all of them. */
    void answerReady(boolean all) {
        if (waiters.isEmpty()) {
            return;
        }
        StatusReply current = status.get();
        waiters.removeIf(waiter -> {
            boolean over = waiter.reply().isOver() || !waiter.end().isAfter(owner.now());
            if (!all && !over && waiter.awaitedPosition() > current.getPosition()) {
                return false;
            }
            gate.answer(waiter.reply(), current);
            return true;
        });
    }

    void failAll() {
        waiters.forEach(waiter -> waiter.reply().fail(Status.UNAVAILABLE.withDescription("connection lost")));
        waiters.clear();
    }
}
