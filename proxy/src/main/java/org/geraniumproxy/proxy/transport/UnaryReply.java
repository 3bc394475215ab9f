package org.geraniumproxy.proxy.transport;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.util.concurrent.CompletableFuture;

/**
 * Stream observer that completes a future with the reply of a unary call.
 *
 * @param <T> type of the reply
 */
public final class UnaryReply<T> implements StreamObserver<T> {
    private final CompletableFuture<T> future = new CompletableFuture<>();

    /**
     * Returns the future of the reply. It completes exceptionally if the call fails or ends without a reply.
     *
     * @return future that completes on the thread that delivers the reply
     */
    public CompletableFuture<T> future() {
        return future;
    }

    @Override
    public void onNext(T reply) {
        future.complete(reply);
    }

    @Override
    public void onError(Throwable failure) {
        future.completeExceptionally(failure);
    }

    @Override
    public void onCompleted() {
        future.completeExceptionally(Status.INTERNAL
                .withDescription("the call ended without a reply")
                .asRuntimeException());
    }
}
