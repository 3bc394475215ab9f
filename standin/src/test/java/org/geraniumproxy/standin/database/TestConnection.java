package org.geraniumproxy.standin.database;

import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.protocol.BackendServiceGrpc;
import org.geraniumproxy.protocol.Begin;
import org.geraniumproxy.protocol.CommitTransaction;
import org.geraniumproxy.protocol.ConnectionReply;
import org.geraniumproxy.protocol.ConnectionRequest;

/** Client of one connection that records each reply as a short text, such as {@code row mime} or {@code end 1}. */
final class TestConnection implements StreamObserver<ConnectionReply> {
    private final List<String> replies = new ArrayList<>();
    private final StreamObserver<ConnectionRequest> requests;
    private final long term;

    TestConnection(ManagedChannel channel, long term) {
        this.term = term;
        this.requests = BackendServiceGrpc.newStub(channel).open(this);
    }

    TestConnection read(String statement) {
        requests.onNext(request().setStatement(statement).build());
        return this;
    }

    TestConnection write(String statement) {
        requests.onNext(request().setStatement(statement).setWrite(true).build());
        return this;
    }

    TestConnection begin() {
        requests.onNext(request().setBegin(Begin.getDefaultInstance()).build());
        return this;
    }

    TestConnection commit() {
        requests.onNext(
                request().setCommit(CommitTransaction.getDefaultInstance()).build());
        return this;
    }

    void close() {
        requests.onCompleted();
    }

    /** Returns the replies since the last call. */
    List<String> replies() {
        List<String> newReplies = List.copyOf(replies);
        replies.clear();
        return newReplies;
    }

    private ConnectionRequest.Builder request() {
        return ConnectionRequest.newBuilder().setTerm(term).setCustomer("troupes");
    }

    @Override
    public void onNext(ConnectionReply reply) {
        replies.add(
                switch (reply.getPartCase()) {
                    case ROW -> "row " + reply.getRow().getValue();
                    case END -> "end " + reply.getEnd().getPosition();
                    case REFUSAL -> "refused " + reply.getRefusal().getReason();
                    case PART_NOT_SET -> "nothing";
                });
    }

    @Override
    public void onError(Throwable failure) {
        replies.add("failed");
    }

    @Override
    public void onCompleted() {
        replies.add("closed");
    }
}
