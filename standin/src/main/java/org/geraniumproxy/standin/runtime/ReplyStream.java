package org.geraniumproxy.standin.runtime;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;

/**
 * The answering side of one call. It ignores what is sent after the call has ended or was cancelled. Confined to the
 * owner, apart from its creation.
 *
 * @param <T> type of the messages
 */
public final class ReplyStream<T> {
    private final ServerCallStreamObserver<T> observer;
    private boolean completed;

    private ReplyStream(ServerCallStreamObserver<T> observer) {
        this.observer = observer;
    }

    /**
     * Wraps the observer of a call. Must run inside the service method.
     *
     * @param observer the observer
     * @param onCancel runs when the caller cancels, on a thread of gRPC
     * @param <T> type of the messages
     * @return the reply
     */
    public static <T> ReplyStream<T> of(StreamObserver<T> observer, Runnable onCancel) {
        ServerCallStreamObserver<T> call = (ServerCallStreamObserver<T>) observer;
        call.setOnCancelHandler(onCancel);
        return new ReplyStream<>(call);
    }

    /**
     * Wraps the observer of a call that needs no notice of its cancellation.
     *
     * @param observer the observer
     * @param <T> type of the messages
     * @return the reply
     */
    public static <T> ReplyStream<T> of(StreamObserver<T> observer) {
        return of(observer, () -> {});
    }

    /**
     * Sends one message of a stream.
     *
     * @param message the message
     */
    public void send(T message) {
        if (!isClosed()) {
            observer.onNext(message);
        }
    }

    /**
     * Sends the last message and ends the call.
     *
     * @param message the message
     */
    public void sendAndComplete(T message) {
        send(message);
        complete();
    }

    /** Ends the call without an error. */
    public void complete() {
        if (!isClosed()) {
            completed = true;
            observer.onCompleted();
        }
    }

    /**
     * Ends the call with an error.
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
     * Tells whether nothing more can be sent.
     *
     * @return true if the call has ended or was cancelled
     */
    public boolean isClosed() {
        return completed || observer.isCancelled();
    }
}
