package org.geraniumproxy.control;

import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

/**
 * The future reply of a unary call with a timeout.
 *
 * @param <T> type of the reply
 */
final class UnaryCall<T> implements StreamObserver<T> {
    private final CompletableFuture<T> reply = new CompletableFuture<>();

    private UnaryCall() {}

    /**
     * Starts a call.
     *
     * @param eventLoop runs the timeout
     * @param timeout time after which the reply is given up
     * @param starter starts the call with the observer of its reply
     * @param <T> type of the reply
     * @return the reply; it fails if the call fails or takes too long, and its effect is unknown then
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
