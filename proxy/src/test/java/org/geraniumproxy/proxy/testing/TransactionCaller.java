package org.geraniumproxy.proxy.testing;

import io.grpc.Status;
import io.grpc.stub.ClientCallStreamObserver;
import io.grpc.stub.ClientResponseObserver;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.protocol.Access;
import org.geraniumproxy.protocol.CallerServiceGrpc;
import org.geraniumproxy.protocol.Commit;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.ExecuteRequest;
import org.geraniumproxy.protocol.Rollback;
import org.geraniumproxy.protocol.TransactionRequest;
import org.geraniumproxy.protocol.TransactionStatement;

/** A caller with one transaction. */
public final class TransactionCaller implements ClientResponseObserver<TransactionRequest, ExecuteReply> {
    private final BlockingQueue<ExecuteReply> replies = new LinkedBlockingQueue<>();
    private final CompletableFuture<Status> ended = new CompletableFuture<>();
    private ClientCallStreamObserver<TransactionRequest> requests;
    private long number;

    public static TransactionCaller open(CallerServiceGrpc.CallerServiceStub stub) {
        TransactionCaller caller = new TransactionCaller();
        var unused = stub.transact(caller);
        return caller;
    }

    public ExecuteReply begin(String key) {
        return send(TransactionRequest.newBuilder()
                .setBegin(ExecuteRequest.newBuilder()
                        .setRequestNumber(++number)
                        .setKey(key)
                        .setRoute("registrations")
                        .setStatementKey("act")
                        .setAccess(Access.WRITE)
                        .setDeadlineMillis(20_000))
                .build());
    }

    public ExecuteReply statement(String statement) {
        return send(TransactionRequest.newBuilder()
                .setStatement(TransactionStatement.newBuilder()
                        .setRequestNumber(++number)
                        .setStatement(statement))
                .build());
    }

    public ExecuteReply commit() {
        return send(TransactionRequest.newBuilder()
                .setCommit(Commit.newBuilder().setRequestNumber(++number))
                .build());
    }

    public ExecuteReply rollback() {
        return send(TransactionRequest.newBuilder()
                .setRollback(Rollback.newBuilder().setRequestNumber(++number))
                .build());
    }

    /** Goes without a word, as a caller that dies does. */
    public void go() {
        requests.cancel("the caller goes", null);
    }

    public Status ended() {
        return TestGroup.join(ended);
    }

    private ExecuteReply send(TransactionRequest request) {
        requests.onNext(request);
        try {
            ExecuteReply reply = replies.poll(20, TimeUnit.SECONDS);
            if (reply == null) {
                throw new AssertionError("no reply to " + request.getStepCase());
            }
            return reply;
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Override
    public void beforeStart(ClientCallStreamObserver<TransactionRequest> stream) {
        requests = stream;
    }

    @Override
    public void onNext(ExecuteReply reply) {
        replies.add(reply);
    }

    @Override
    public void onError(Throwable failure) {
        ended.complete(Status.fromThrowable(failure));
    }

    @Override
    public void onCompleted() {
        ended.complete(Status.OK);
    }
}
