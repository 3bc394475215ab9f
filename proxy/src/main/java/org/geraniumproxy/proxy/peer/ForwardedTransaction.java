package org.geraniumproxy.proxy.peer;

import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.core.routing.GroupRequest;
import org.geraniumproxy.core.routing.GroupResult;
import org.geraniumproxy.core.session.SessionRequirement;
import org.geraniumproxy.protocol.Commit;
import org.geraniumproxy.protocol.ForwardReply;
import org.geraniumproxy.protocol.ForwardRequest;
import org.geraniumproxy.protocol.ForwardTransactionRequest;
import org.geraniumproxy.protocol.Rollback;
import org.geraniumproxy.protocol.TransactionStatement;
import org.geraniumproxy.proxy.traffic.GroupTransaction;
import org.geraniumproxy.proxy.traffic.TransactionStart;
import org.geraniumproxy.proxy.traffic.TransactionStep;

/** A transaction at another VM over one stream. The coordinator rolls it back when the stream ends. */
final class ForwardedTransaction implements GroupTransaction {
    private final Object lock = new Object();
    private final GroupRequest request;
    private final Executor executor;
    private SessionRequirement session;
    private ClientCallStreamObserver<ForwardTransactionRequest> requests;
    private State state = new Ready();

    /** State of the stream. */
    private sealed interface State {}

    /** No step is running. */
    private record Ready() implements State {}

    /** A step was sent and its reply has not arrived. */
    private record Running(long requestNumber, boolean commit, CompletableFuture<GroupResult> result)
            implements State {}

    /** The stream can't be used any more. */
    private record Closed() implements State {}

    ForwardedTransaction(GroupRequest request, Executor executor) {
        this.request = request;
        this.executor = executor;
        this.session = request.session();
    }

    ClientResponseObserver<ForwardTransactionRequest, ForwardReply> replies(Consumer<Throwable> failures) {
        return new Replies(failures);
    }

    CompletableFuture<TransactionStart> begin(ForwardRequest message) {
        ForwardTransactionRequest begin =
                ForwardTransactionRequest.newBuilder().setBegin(message).build();
        return send(request.requestNumber(), false, begin).thenApply(result -> {
            if (result.outcome() instanceof Outcome.Answered) {
                return new TransactionStart.Begun(this, result);
            }
            close();
            return new TransactionStart.Refused(result);
        });
    }

    @Override
    public CompletableFuture<GroupResult> step(TransactionStep step) {
        ForwardTransactionRequest.Builder builder = ForwardTransactionRequest.newBuilder();
        ForwardTransactionRequest message = switch (step) {
            case TransactionStep.Statement statement ->
                builder.setStatement(TransactionStatement.newBuilder()
                                .setRequestNumber(statement.requestNumber())
                                .setStatement(statement.statement()))
                        .build();
            case TransactionStep.Commit commit ->
                builder.setCommit(Commit.newBuilder().setRequestNumber(commit.requestNumber()))
                        .build();
            case TransactionStep.Rollback rollback ->
                builder.setRollback(Rollback.newBuilder().setRequestNumber(rollback.requestNumber()))
                        .build();
        };
        return send(step.requestNumber(), step instanceof TransactionStep.Commit, message);
    }

    @Override
    public void close() {
        ClientCallStreamObserver<ForwardTransactionRequest> stream;
        synchronized (lock) {
            stream = requests;
            fail("the transaction was given up");
        }
        if (stream != null) {
            stream.cancel("the transaction is given up or has ended", null);
        }
    }

    private CompletableFuture<GroupResult> send(long requestNumber, boolean commit, ForwardTransactionRequest message) {
        CompletableFuture<GroupResult> result = new CompletableFuture<>();
        synchronized (lock) {
            switch (state) {
                case Running _ -> throw new IllegalStateException("another step of the transaction is running");
                case Closed _ -> complete(result, GroupResult.unserved(rolledBack("its stream has ended"), session));
                case Ready _ -> {
                    state = new Running(requestNumber, commit, result);
                    handOver(message);
                }
            }
        }
        return result;
    }

    private void handOver(ForwardTransactionRequest message) {
        try {
            requests.onNext(message);
        } catch (RuntimeException e) {
            fail("its stream failed while the step was sent");
        }
    }

    private void fail(String detail) {
        State before = state;
        state = new Closed();
        if (before instanceof Running running) {
            Outcome outcome = running.commit()
                    ? Outcome.unknown("the commit was sent, but " + detail + " before the answer arrived")
                    : rolledBack(detail);
            complete(running.result(), GroupResult.unserved(outcome, session));
        }
    }

    /** Without a commit nothing of the transaction takes effect, so that the step has truly not run. */
    private static Outcome rolledBack(String detail) {
        return Outcome.notRun(NotRunReason.UNREACHABLE, "the transaction is rolled back, because " + detail);
    }

    private void receive(ForwardReply reply) {
        if (!(state instanceof Running running)) {
            fail("a reply arrived while no step was running");
            requests.cancel("unexpected reply", null);
            return;
        }
        GroupResult result = ForwardMessages.read(running.requestNumber(), reply, session);
        session = result.session();
        if (result.outcome() instanceof Outcome.Unknown) {
            // The stream can't be trusted after a reply that is not the complete one to its step.
            state = new Closed();
            requests.cancel("the reply does not answer the step", null);
        } else {
            state = new Ready();
        }
        complete(running.result(), result);
    }

    private void complete(CompletableFuture<GroupResult> result, GroupResult value) {
        executor.execute(() -> result.complete(value));
    }

    /** Receives the stream's events on the client's executor, one at a time. */
    private final class Replies implements ClientResponseObserver<ForwardTransactionRequest, ForwardReply> {
        private final Consumer<Throwable> failures;

        Replies(Consumer<Throwable> failures) {
            this.failures = failures;
        }

        @Override
        public void beforeStart(ClientCallStreamObserver<ForwardTransactionRequest> stream) {
            synchronized (lock) {
                requests = stream;
            }
        }

        @Override
        public void onNext(ForwardReply reply) {
            synchronized (lock) {
                receive(reply);
            }
        }

        @Override
        public void onError(Throwable failure) {
            synchronized (lock) {
                fail("its stream to the coordinator failed");
            }
            failures.accept(failure);
        }

        @Override
        public void onCompleted() {
            synchronized (lock) {
                fail("the coordinator ended its stream");
            }
        }
    }
}
