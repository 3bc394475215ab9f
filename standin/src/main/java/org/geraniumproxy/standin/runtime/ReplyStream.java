package org.geraniumproxy.standin.runtime;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

/**
 * The server's side of one gRPC call. Messages sent after the call was completed, failed or cancelled are ignored.
 * Confined to the executor, apart from its creation.
 *
 * @param <T> type of the reply messages
 */
public final class ReplyStream<T> {
    private final ServerCallStreamObserver<T> observer;
    private boolean completed;

    private ReplyStream(ServerCallStreamObserver<T> observer) {
        this.observer = observer;
    }

    /**
     * Wraps the observer of a call. Must run inside the service method, because gRPC then still accepts a cancel
     * handler.
     *
     * @param observer the observer
     * @param onCancel runs on a gRPC thread when the caller cancels
     * @param <T> type of the reply messages
     * @return the stream of replies
     */
    public static <T> ReplyStream<T> of(StreamObserver<T> observer, Runnable onCancel) {
        ServerCallStreamObserver<T> call = (ServerCallStreamObserver<T>) observer;
        call.setOnCancelHandler(onCancel);
        return new ReplyStream<>(call);
    }

    /**
     * Wraps the observer of a call that needs no cancel handler. Must run inside the service method.
     *
     * @param observer the observer
     * @param <T> type of the reply messages
     * @return the stream of replies
     */
    public static <T> ReplyStream<T> of(StreamObserver<T> observer) {
        return of(observer, () -> {});
    }

    /**
     * Sends one message and keeps the call open.
     *
     * @param message the message
     */
    public void send(T message) {
        if (!isClosed()) {
            observer.onNext(message);
        }
    }

    /**
     * Sends one message and completes the call.
     *
     * @param message the message
     */
    public void sendAndComplete(T message) {
        send(message);
        complete();
    }

    /** Completes the call without an error. */
    public void complete() {
        if (!isClosed()) {
            completed = true;
            observer.onCompleted();
        }
    }

    /**
     * Fails the call.
     *
     * @param status the error
     */
    public void fail(Status status) {
        if (!isClosed()) {
            completed = true;
            observer.onError(status.asRuntimeException());
        }
    }

    /**
     * Returns whether no more messages can be sent.
     *
     * @return true if the call was completed, failed or cancelled
     */
    public boolean isClosed() {
        return completed || observer.isCancelled();
    }
}
