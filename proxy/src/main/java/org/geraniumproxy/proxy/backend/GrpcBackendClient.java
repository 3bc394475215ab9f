package org.geraniumproxy.proxy.backend;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.geraniumproxy.core.configuration.BackendServer;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.protocol.BackendServiceGrpc;
import org.geraniumproxy.protocol.BackendServiceGrpc.BackendServiceStub;
import org.geraniumproxy.protocol.FenceReply;
import org.geraniumproxy.protocol.FenceRequest;
import org.geraniumproxy.protocol.FollowReply;
import org.geraniumproxy.protocol.FollowRequest;
import org.geraniumproxy.protocol.PromoteReply;
import org.geraniumproxy.protocol.PromoteRequest;
import org.geraniumproxy.protocol.StatusReply;
import org.geraniumproxy.protocol.StatusRequest;
import org.geraniumproxy.proxy.transport.ChannelCache;
import org.geraniumproxy.proxy.transport.UnaryReply;

/** Calls backend servers over gRPC. Futures complete on the executor, never on a transport thread. */
public final class GrpcBackendClient implements BackendClient {
    /** Timeout of a call. A failover must finish within 12 s even if several calls time out. */
    static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final ChannelCache channels;
    private final Executor executor;
    private final Clock clock;

    /**
     * Creates a client.
     *
     * @param channels the channels to backend servers, closed with the client
     * @param executor completes the futures and runs the callbacks of streams
     * @param clock provides the time at which a request is sent
     */
    public GrpcBackendClient(ChannelCache channels, Executor executor, Clock clock) {
        this.channels = channels;
        this.executor = executor;
        this.clock = clock;
    }

    @Override
    public CompletableFuture<BackendStatus> status(BackendServer backendServer, long awaitedPosition, Duration wait) {
        StatusRequest request = StatusRequest.newBuilder()
                .setAwaitedPosition(awaitedPosition)
                .setWaitMillis(wait.toMillis())
                .build();
        Instant sentAt = clock.instant();
        return this.<StatusReply>call(
                        backendServer, wait.plus(CALL_TIMEOUT), (stub, reply) -> stub.status(request, reply))
                .thenApply(reply -> checkedStatus(backendServer, reply, sentAt));
    }

    @Override
    public CompletableFuture<FenceResult> fence(BackendServer backendServer, Term term) {
        FenceRequest request = FenceRequest.newBuilder().setTerm(term.number()).build();
        Instant sentAt = clock.instant();
        return this.<FenceReply>call(backendServer, CALL_TIMEOUT, (stub, reply) -> stub.fence(request, reply))
                .thenApply(reply ->
                        new FenceResult(reply.getAccepted(), checkedStatus(backendServer, reply.getStatus(), sentAt)));
    }

    @Override
    public CompletableFuture<PromoteResult> promote(BackendServer backendServer, Term term) {
        PromoteRequest request =
                PromoteRequest.newBuilder().setTerm(term.number()).build();
        return this.<PromoteReply>call(backendServer, CALL_TIMEOUT, (stub, reply) -> stub.promote(request, reply))
                .thenApply(
                        reply -> new PromoteResult(reply.getAccepted(), reply.getStartPosition(), reply.getDetail()));
    }

    @Override
    public CompletableFuture<Boolean> follow(BackendServer backendServer, Term term, BackendServer primary) {
        FollowRequest request = FollowRequest.newBuilder()
                .setTerm(term.number())
                .setPrimary(primary.name().value())
                .setPrimaryAddress(primary.address())
                .build();
        return this.<FollowReply>call(backendServer, CALL_TIMEOUT, (stub, reply) -> stub.follow(request, reply))
                .thenApply(FollowReply::getAccepted);
    }

    @Override
    public CompletableFuture<BackendConnection> open(BackendServer backendServer) {
        GrpcBackendConnection connection = new GrpcBackendConnection(executor);
        BackendServiceGrpc.newStub(channels.channel(backendServer.address()))
                .withExecutor(executor)
                .open(connection.replyObserver());
        connection.confirm();
        return connection
                .opened()
                .orTimeout(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .whenCompleteAsync((opened, failure) -> closeUnopened(backendServer, connection, failure), executor);
    }

    @Override
    public void close() {
        channels.close();
    }

    private void closeUnopened(BackendServer backendServer, GrpcBackendConnection connection, Throwable failure) {
        if (failure != null) {
            connection.close();
            channels.recordFailure(backendServer.address(), failure);
        }
    }

    private <T> CompletableFuture<T> call(
            BackendServer backendServer, Duration timeout, BiConsumer<BackendServiceStub, UnaryReply<T>> start) {
        UnaryReply<T> reply = new UnaryReply<>();
        BackendServiceStub stub = BackendServiceGrpc.newStub(channels.channel(backendServer.address()))
                .withExecutor(executor)
                .withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
        start.accept(stub, reply);
        return reply.future().whenComplete((value, failure) -> {
            if (failure != null) {
                channels.recordFailure(backendServer.address(), failure);
            }
        });
    }

    private static BackendStatus checkedStatus(BackendServer backendServer, StatusReply reply, Instant sentAt) {
        BackendStatus status = BackendMessages.decodeStatus(reply, sentAt);
        if (!status.backendServer().equals(backendServer.name())) {
            throw new IllegalStateException("backend: " + backendServer.address() + " replied as "
                    + status.backendServer() + ", but " + backendServer.name() + " is configured there");
        }
        return status;
    }
}
