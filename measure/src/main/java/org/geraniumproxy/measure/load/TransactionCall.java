package org.geraniumproxy.measure.load;

import io.grpc.Channel;
import io.grpc.Context;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.protocol.CallerServiceGrpc;
import org.geraniumproxy.protocol.Commit;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.ExecuteRequest;
import org.geraniumproxy.protocol.TransactionRequest;
import org.geraniumproxy.protocol.TransactionStatement;

/** Stream of one transaction, in which each message waits for its reply. Not safe for use by several threads. */
final class TransactionCall implements AutoCloseable {
    /** Converts a reply to a result and stores its session token. */
    @FunctionalInterface
    interface ReplyReader {
        CallResult read(long requestNumber, ExecuteReply reply);
    }

    private sealed interface StreamEvent {}

    private record ReplyReceived(ExecuteReply reply) implements StreamEvent {}

    private record StreamEnded(Status status) implements StreamEvent {}

    private final BlockingQueue<StreamEvent> events = new LinkedBlockingQueue<>();
    private final Context.CancellableContext context = Context.current().withCancellation();
    private final Duration timeout;
    private StreamObserver<TransactionRequest> requests;

    private TransactionCall(Duration timeout) {
        this.timeout = timeout;
    }

    static TransactionCall open(Channel channel, Duration timeout) {
        TransactionCall call = new TransactionCall(timeout);
        call.context.run(() -> call.requests = CallerServiceGrpc.newStub(channel)
                .withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS)
                .transact(call.new ReplyObserver()));
        return call;
    }

    /** Begins a transaction, runs the statements and commits; stops at the first message that is not answered. */
    CallResult run(ExecuteRequest begin, List<String> statements, ReplyReader reader) {
        long requestNumber = begin.getRequestNumber();
        List<String> rows = new ArrayList<>();
        CallResult result =
                exchange(requestNumber, TransactionRequest.newBuilder().setBegin(begin), reader);
        for (String statement : statements) {
            if (!(result instanceof CallResult.Answered)) {
                return result;
            }
            TransactionStatement statementRequest = TransactionStatement.newBuilder()
                    .setRequestNumber(requestNumber)
                    .setStatement(statement)
                    .build();
            result = exchange(requestNumber, TransactionRequest.newBuilder().setStatement(statementRequest), reader);
            if (result instanceof CallResult.Answered answered) {
                rows.addAll(answered.rows());
            }
        }
        if (!(result instanceof CallResult.Answered)) {
            return result;
        }
        Commit commit = Commit.newBuilder().setRequestNumber(requestNumber).build();
        CallResult committed =
                exchange(requestNumber, TransactionRequest.newBuilder().setCommit(commit), reader);
        return committed instanceof CallResult.Answered answered
                ? new CallResult.Answered(rows, answered.servedBy(), answered.byReplica())
                : committed;
    }

    @Override
    public void close() {
        context.cancel(null);
    }

    private CallResult exchange(long requestNumber, TransactionRequest.Builder request, ReplyReader reader) {
        requests.onNext(request.build());
        return switch (awaitEvent()) {
            case ReplyReceived replied -> reader.read(requestNumber, replied.reply());
            case StreamEnded ended -> throw new StatusRuntimeException(ended.status());
        };
    }

    private StreamEvent awaitEvent() {
        try {
            StreamEvent event = events.poll(timeout.toMillis(), TimeUnit.MILLISECONDS);
            return event == null ? new StreamEnded(Status.DEADLINE_EXCEEDED) : event;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new StreamEnded(Status.CANCELLED.withCause(e));
        }
    }

    private final class ReplyObserver implements StreamObserver<ExecuteReply> {
        @Override
        public void onNext(ExecuteReply reply) {
            events.add(new ReplyReceived(reply));
        }

        @Override
        public void onError(Throwable failure) {
            events.add(new StreamEnded(Status.fromThrowable(failure)));
        }

        @Override
        public void onCompleted() {
            events.add(new StreamEnded(Status.UNAVAILABLE.withDescription("the stream ended before the reply")));
        }
    }
}
