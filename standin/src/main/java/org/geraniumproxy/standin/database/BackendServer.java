package org.geraniumproxy.standin.database;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.protocol.BackendServiceGrpc;
import org.geraniumproxy.protocol.ConnectionReply;
import org.geraniumproxy.protocol.ConnectionRequest;
import org.geraniumproxy.protocol.FenceReply;
import org.geraniumproxy.protocol.FenceRequest;
import org.geraniumproxy.protocol.FollowReply;
import org.geraniumproxy.protocol.FollowRequest;
import org.geraniumproxy.protocol.PromoteReply;
import org.geraniumproxy.protocol.PromoteRequest;
import org.geraniumproxy.protocol.ReplicateReply;
import org.geraniumproxy.protocol.ReplicateRequest;
import org.geraniumproxy.protocol.StatusReply;
import org.geraniumproxy.protocol.StatusRequest;
import org.geraniumproxy.standin.runtime.FaultTarget;
import org.geraniumproxy.standin.runtime.ReplyStream;
import org.geraniumproxy.standin.runtime.SerialExecutor;

/** gRPC service of one database: connections, status, fencing, promotion and replication. */
public final class BackendServer extends BackendServiceGrpc.BackendServiceImplBase {
    private final DatabaseNode node;
    private final SerialExecutor executor;

    /**
     * Creates an empty database with no term and no primary.
     *
     * @param name name of the backend server
     * @param settings its limits and simulated delays
     * @param executor runs everything that touches its state
     * @param channelFactory opens the channels on which it calls its primary
     */
    public BackendServer(
            String name, DatabaseSettings settings, SerialExecutor executor, ChannelFactory channelFactory) {
        this.executor = executor;
        this.node = new DatabaseNode(name, settings, executor, channelFactory);
    }

    /**
     * Returns the name of the backend server.
     *
     * @return the name
     */
    public String name() {
        return node.name();
    }

    /**
     * Returns the target for fault injection.
     *
     * @return the target
     */
    public FaultTarget faultTarget() {
        return node;
    }

    /**
     * Returns whether the database reports that it is leaving. Runs on the executor.
     *
     * @return true if it does
     */
    public boolean isLeaving() {
        return node.faultFilter().faults().leaving();
    }

    @Override
    public StreamObserver<ConnectionRequest> open(StreamObserver<ConnectionReply> observer) {
        ConnectionRequestObserver requestObserver = new ConnectionRequestObserver();
        ReplyStream<ConnectionReply> reply = ReplyStream.of(observer, requestObserver::cancelled);
        requestObserver.start(reply);
        return requestObserver;
    }

    @Override
    public void status(StatusRequest request, StreamObserver<StatusReply> observer) {
        ReplyStream<StatusReply> reply = ReplyStream.of(observer);
        node.faultFilter().dispatch(reply, () -> node.pendingStatusRequests().add(request, reply));
    }

    @Override
    public void fence(FenceRequest request, StreamObserver<FenceReply> observer) {
        ReplyStream<FenceReply> reply = ReplyStream.of(observer);
        dispatchWithTerm(request.getTerm(), reply, () -> {
            Term previousTerm = node.database().fencedTerm();
            boolean accepted = node.database().fence(Term.of(request.getTerm()));
            if (node.database().fencedTerm().isAfter(previousTerm)) {
                node.replicationReceiver().stop();
                node.onRoleChanged();
            }
            node.faultFilter()
                    .sendReplyAfterEffect(
                            reply,
                            FenceReply.newBuilder()
                                    .setAccepted(accepted)
                                    .setStatus(node.status())
                                    .build());
        });
    }

    @Override
    public void promote(PromoteRequest request, StreamObserver<PromoteReply> observer) {
        ReplyStream<PromoteReply> reply = ReplyStream.of(observer);
        dispatchWithTerm(request.getTerm(), reply, () -> {
            boolean wasPrimary = node.database().isPrimary();
            Term previousTerm = node.database().fencedTerm();
            String refusal = node.database().promote(Term.of(request.getTerm()));
            if (refusal.isEmpty() && !(wasPrimary && previousTerm.number() == request.getTerm())) {
                node.onRoleChanged();
            }
            PromoteReply.Builder answer =
                    PromoteReply.newBuilder().setAccepted(refusal.isEmpty()).setDetail(refusal);
            if (refusal.isEmpty()) {
                answer.setStartPosition(node.database().termStarts().getLast().position());
            }
            node.faultFilter().sendReplyAfterEffect(reply, answer.build());
        });
    }

    @Override
    public void follow(FollowRequest request, StreamObserver<FollowReply> observer) {
        ReplyStream<FollowReply> reply = ReplyStream.of(observer);
        dispatchWithTerm(request.getTerm(), reply, () -> {
            Term term = Term.of(request.getTerm());
            Term previousTerm = node.database().fencedTerm();
            boolean accepted = node.database().follow(term);
            if (term.isAfter(previousTerm)) {
                node.replicationReceiver().stop();
                node.onRoleChanged();
            }
            if (accepted) {
                node.replicationReceiver().start(new ReplicationReceiver.Source(term, request.getPrimaryAddress()));
            }
            FollowReply answer = FollowReply.newBuilder()
                    .setAccepted(accepted)
                    .setDetail(
                            accepted
                                    ? ""
                                    : "fenced at term "
                                            + node.database().fencedTerm().number())
                    .build();
            node.faultFilter().sendReplyAfterEffect(reply, answer);
        });
    }

    @Override
    public void replicate(ReplicateRequest request, StreamObserver<ReplicateReply> observer) {
        ReplyStream<ReplicateReply> reply = ReplyStream.of(observer);
        dispatchWithTerm(
                request.getTerm(), reply, () -> node.replicationSender().open(request, reply));
    }

    private void dispatchWithTerm(long term, ReplyStream<?> reply, Runnable call) {
        if (term < 0) {
            executor.execute(() -> reply.fail(Status.INVALID_ARGUMENT.withDescription("negative term")));
            return;
        }
        node.faultFilter().dispatch(reply, call);
    }

    /** Forwards the events of one connection's request stream to the executor. */
    private final class ConnectionRequestObserver implements StreamObserver<ConnectionRequest> {
        private ConnectionHandler handler;

        void start(ReplyStream<ConnectionReply> reply) {
            executor.execute(() -> {
                handler = new ConnectionHandler(node, reply);
                if (!node.faultFilter().suppressReply(reply)) {
                    handler.open();
                }
            });
        }

        void cancelled() {
            executor.execute(() -> handler.cancelled());
        }

        @Override
        public void onNext(ConnectionRequest request) {
            executor.execute(() -> handler.receive(request));
        }

        @Override
        public void onError(Throwable failure) {
            executor.execute(() -> handler.cancelled());
        }

        @Override
        public void onCompleted() {
            executor.execute(() -> handler.requestsCompleted());
        }
    }
}
