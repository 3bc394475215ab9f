package org.geraniumproxy.control;

import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * Adapts a unary gRPC call to a future with a timeout.
 *
 * @param <T> type of the reply
 */
final class UnaryCall<T> implements StreamObserver<T> {
    private final CompletableFuture<T> reply = new CompletableFuture<>();

    private UnaryCall() {}

    /**
     * Starts a call.
     *
     * @param eventLoop schedules the timeout
     * @param timeout time after which the future fails
     * @param starter starts the call with the given observer
     * @param <T> type of the reply
     * @return the reply; if the future fails, the call may or may not have taken effect
     */
    static <T> CompletableFuture<T> start(EventLoop eventLoop, Duration timeout, Consumer<StreamObserver<T>> starter) {
        UnaryCall<T> call = new UnaryCall<>();
        eventLoop.schedule(
                timeout,
                () -> call.reply.completeExceptionally(
                        new TimeoutException("no reply within " + timeout.toMillis() + " ms")));
        starter.accept(call);
        return call.reply;
    }

    @Override
    public void onNext(T value) {
        reply.complete(value);
    }

    @Override
    public void onError(Throwable failure) {
        reply.completeExceptionally(failure);
    }

    @Override
    public void onCompleted() {
        reply.completeExceptionally(new IllegalStateException("the call ended without a reply"));
    }
}
