package org.geraniumproxy.proxy.peer;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.time.Clock;
import java.util.Optional;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.protocol.ForwardReply;
import org.geraniumproxy.protocol.ForwardRequest;
import org.geraniumproxy.protocol.ForwardTransactionRequest;
import org.geraniumproxy.proxy.traffic.GroupTransaction;
import org.geraniumproxy.proxy.traffic.GroupTransactionHandler;
import org.geraniumproxy.proxy.traffic.TransactionStart;
import org.geraniumproxy.proxy.traffic.TransactionStep;

/**
 * Serves one forwarded transaction. It asks for the next message only after the reply to the last one, so that one step
 * runs at a time, and gives the transaction up when the stream ends.
 */
final class ForwardedTransactionStream implements StreamObserver<ForwardTransactionRequest> {
    private final GroupTransactionHandler handler;
    private final Clock clock;
    private final ServerCallStreamObserver<ForwardReply> replies;
    private Optional<GroupTransaction> transaction = Optional.empty();
    private boolean ended;

    ForwardedTransactionStream(
            GroupTransactionHandler handler, Clock clock, ServerCallStreamObserver<ForwardReply> replies) {
        this.handler = handler;
        this.clock = clock;
        this.replies = replies;
    }

    ForwardedTransactionStream start() {
        replies.disableAutoRequest();
        replies.setOnCancelHandler(() -> giveUp());
        replies.request(1);
        return this;
    }

    @Override
    public void onNext(ForwardTransactionRequest message) {
        try {
            switch (message.getStepCase()) {
                case BEGIN -> begin(message.getBegin());
                case STATEMENT ->
                    step(new TransactionStep.Statement(
                            message.getStatement().getRequestNumber(),
                            message.getStatement().getStatement()));
                case COMMIT ->
                    step(new TransactionStep.Commit(message.getCommit().getRequestNumber()));
                case ROLLBACK ->
                    step(new TransactionStep.Rollback(message.getRollback().getRequestNumber()));
                default -> refuseStream("a message has no step");
            }
        } catch (IllegalArgumentException | IllegalStateException e) {
            refuseStream(e.getMessage());
        }
    }

    @Override
    public void onError(Throwable failure) {
        var unused = giveUp();
    }

    @Override
    public void onCompleted() {
        if (giveUp()) {
            replies.onCompleted();
        }
    }

    private void begin(ForwardRequest message) {
        if (current().isPresent()) {
            refuseStream("the transaction has already begun");
            return;
        }
        var unused = handler.begin(ForwardMessages.read(message, clock.instant()))
                .thenAccept(start -> {
                    GroupResult result = switch (start) {
                        case TransactionStart.Begun begun -> {
                            keep(begun.transaction());
                            yield begun.result();
                        }
                        case TransactionStart.Refused refused -> refused.result();
                    };
                    reply(message.getRequestNumber(), result);
                });
    }

    private void step(TransactionStep step) {
        Optional<GroupTransaction> current = current();
        if (current.isEmpty()) {
            refuseStream("no transaction has begun");
            return;
        }
        var unused = current.get().step(step).thenAccept(result -> reply(step.requestNumber(), result));
    }

    private void reply(long requestNumber, GroupResult result) {
        synchronized (this) {
            if (ended) {
                return;
            }
            replies.onNext(ForwardMessages.write(requestNumber, result));
        }
        replies.request(1);
    }

    private void refuseStream(String detail) {
        if (giveUp()) {
            replies.onError(Status.INVALID_ARGUMENT.withDescription(detail).asRuntimeException());
        }
    }

    private synchronized Optional<GroupTransaction> current() {
        return transaction;
    }

    /** Keeps the transaction, or gives it up at once if the stream ended while it began. */
    private synchronized void keep(GroupTransaction begun) {
        if (ended) {
            begun.close();
        } else {
            transaction = Optional.of(begun);
        }
    }

    /** Gives the transaction up and tells whether the stream was still open. */
    private synchronized boolean giveUp() {
        boolean wasOpen = !ended;
        ended = true;
        transaction.ifPresent(GroupTransaction::close);
        transaction = Optional.empty();
        return wasOpen;
    }
}
