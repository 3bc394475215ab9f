package org.geraniumproxy.standin.database;

import io.grpc.Status;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.geraniumproxy.protocol.StatusReply;
import org.geraniumproxy.protocol.StatusRequest;
import org.geraniumproxy.standin.runtime.FaultFilter;
import org.geraniumproxy.standin.runtime.ReplyStream;
import org.geraniumproxy.standin.runtime.SerialExecutor;

/** Status requests that wait until the log reaches a position. Confined to the executor. */
final class PendingStatusRequests {
    private record PendingRequest(long awaitedPosition, Instant deadline, ReplyStream<StatusReply> reply) {}

    private final SerialExecutor executor;
    private final FaultFilter faultFilter;
    private final Supplier<StatusReply> status;
    private final List<PendingRequest> requests = new ArrayList<>();

    PendingStatusRequests(SerialExecutor executor, FaultFilter faultFilter, Supplier<StatusReply> status) {
        this.executor = executor;
        this.faultFilter = faultFilter;
        this.status = status;
    }

    void add(StatusRequest request, ReplyStream<StatusReply> reply) {
        Duration wait = Duration.ofMillis(request.getWaitMillis());
        requests.add(
                new PendingRequest(request.getAwaitedPosition(), executor.now().plus(wait), reply));
        replyToReady(false);
        executor.schedule(wait, () -> replyToReady(false));
    }

    /** Replies to the requests whose position is reached or whose deadline has passed, or to all of them. */
    void replyToReady(boolean all) {
        if (requests.isEmpty()) {
            return;
        }
        StatusReply current = status.get();
        requests.removeIf(request -> {
            boolean finished = request.reply().isClosed() || !request.deadline().isAfter(executor.now());
            if (!all && !finished && request.awaitedPosition() > current.getPosition()) {
                return false;
            }
            faultFilter.sendReply(request.reply(), current);
            return true;
        });
    }

    void failAll() {
        requests.forEach(request -> request.reply().fail(Status.UNAVAILABLE.withDescription("connection lost")));
        requests.clear();
    }
}
