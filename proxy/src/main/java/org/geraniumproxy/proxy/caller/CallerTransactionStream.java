package org.geraniumproxy.proxy.caller;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.function.Supplier;
import org.geraniumproxy.core.admission.CallerRequest;
import org.geraniumproxy.core.outcome.Outcome;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.TransactionRequest;
import org.geraniumproxy.proxy.traffic.EntryHandler;
import org.geraniumproxy.proxy.traffic.EntryReply;
import org.geraniumproxy.proxy.traffic.EntryTransaction;
import org.geraniumproxy.proxy.traffic.EntryTransactionStart;
import org.geraniumproxy.proxy.traffic.TransactionStep;
import org.jboss.logging.Logger;

/**
 * Serves one transaction of a caller. It asks for the next message only after the reply to the last one, so that one
 * step runs at a time, and rolls the transaction back when the caller goes.
 */
final class CallerTransactionStream implements StreamObserver<TransactionRequest> {
    private static final Logger log = Logger.getLogger(CallerTransactionStream.class);

    private final EntryHandler entry;
    private final ExecutorService executor;
    private final ServerCallStreamObserver<ExecuteReply> replies;
    private Optional<EntryTransaction> transaction = Optional.empty();
    private Optional<Outcome.NotRun> revocation = Optional.empty();
    private boolean stepRunning;
    private boolean ended;

    CallerTransactionStream(
            EntryHandler entry, ExecutorService executor, ServerCallStreamObserver<ExecuteReply> replies) {
        this.entry = entry;
        this.executor = executor;
        this.replies = replies;
    }

    CallerTransactionStream start() {
        replies.disableAutoRequest();
        replies.setOnCancelHandler(this::end);
        replies.request(1);
        return this;
    }

    @Override
    public synchronized void onNext(TransactionRequest message) {
        switch (message.getStepCase()) {
            case BEGIN -> begin(CallerMessages.read(message.getBegin()));
            case STATEMENT ->
                step(new TransactionStep.Statement(
                        message.getStatement().getRequestNumber(),
                        message.getStatement().getStatement()));
            case COMMIT -> step(new TransactionStep.Commit(message.getCommit().getRequestNumber()));
            case ROLLBACK ->
                step(new TransactionStep.Rollback(message.getRollback().getRequestNumber()));
            default -> fail(Status.INVALID_ARGUMENT.withDescription("a message has no step"));
        }
    }

    @Override
    public void onError(Throwable failure) {
        end();
    }

    @Override
    public synchronized void onCompleted() {
        if (!ended) {
            end();
            replies.onCompleted();
        }
    }

    private void begin(CallerRequest request) {
        if (transaction.isPresent()) {
            fail(Status.INVALID_ARGUMENT.withDescription("the transaction has already begun"));
            return;
        }
        run(() -> switch (entry.begin(request)) {
            case EntryTransactionStart.Begun begun -> {
                keep(begun.transaction());
                yield new Step(begun.reply(), false);
            }
            case EntryTransactionStart.Refused refused -> new Step(refused.reply(), true);
        });
    }

    private void step(TransactionStep step) {
        if (transaction.isEmpty()) {
            fail(Status.INVALID_ARGUMENT.withDescription("no transaction has begun"));
            return;
        }
        EntryTransaction current = transaction.get();
        boolean last = !(step instanceof TransactionStep.Statement);
        run(() -> new Step(current.step(step), last));
    }

    /** A step that has ended, and whether it was the last one of the transaction. */
    private record Step(EntryReply reply, boolean last) {}

    private void run(Supplier<Step> work) {
        stepRunning = true;
        executor.execute(() -> {
            try {
                reply(work.get());
            } catch (RuntimeException e) {
                log.errorf(e, "caller: a step of a transaction failed");
                fail(Status.INTERNAL.withDescription("the proxy failed; the outcome is unknown"));
            }
        });
    }

    private synchronized void reply(Step step) {
        stepRunning = false;
        if (ended) {
            return;
        }
        replies.onNext(CallerMessages.write(step.reply()));
        if (step.last()) {
            end();
            replies.onCompleted();
        } else if (revocation.isPresent()) {
            fail(statusOf(revocation.get()));
        } else {
            replies.request(1);
        }
    }

    /** Keeps the transaction, or rolls it back at once if the caller has gone while it began. */
    private synchronized void keep(EntryTransaction begun) {
        if (ended) {
            begun.close();
            return;
        }
        transaction = Optional.of(begun);
        var unused = begun.revoked().thenAccept(this::revoked);
    }

    /** Ends the stream, after the reply to the running step if there is one. */
    private synchronized void revoked(Outcome.NotRun reason) {
        revocation = Optional.of(reason);
        if (!stepRunning) {
            fail(statusOf(reason));
        }
    }

    private synchronized void fail(Status status) {
        if (!ended) {
            end();
            replies.onError(status.asRuntimeException());
        }
    }

    private synchronized void end() {
        ended = true;
        transaction.ifPresent(EntryTransaction::close);
    }

    private static Status statusOf(Outcome.NotRun reason) {
        Status status = switch (reason.reason()) {
            case KEY_WITHDRAWN -> Status.PERMISSION_DENIED;
            case DEADLINE_UNREACHABLE -> Status.DEADLINE_EXCEEDED;
            default -> Status.UNAVAILABLE;
        };
        return status.withDescription(reason.reason() + ": " + reason.detail());
    }
}
