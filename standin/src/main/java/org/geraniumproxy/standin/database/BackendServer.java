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
import org.geraniumproxy.standin.runtime.Owner;
import org.geraniumproxy.standin.runtime.Reply;

/** A database of a group over gRPC. */
public final class BackendServer extends BackendServiceGrpc.BackendServiceImplBase {
    private final DatabaseHost host;
    private final Owner owner;

    /**
     * Creates an empty database with no term and no primary.
     *
     * @param name name of the backend server
     * @param settings limits and costs
     * @param owner the owner of its state
     * @param channels opens channels to primaries
     */
    public BackendServer(String name, DatabaseSettings settings, Owner owner, ChannelFactory channels) {
        this.owner = owner;
        this.host = new DatabaseHost(name, settings, owner, channels);
    }

    /**
     * Returns the name of the backend server.
     *
     * @return the name
     */
    public String name() {
        return host.name();
    }

    /**
     * Returns what faults are injected into.
     *
     * @return the target
     */
    public FaultTarget faultTarget() {
        return host;
    }

    /**
     * Tells whether the database reports that it is leaving. Runs on the owner.
     *
     * @return true if it does
     */
    public boolean isLeaving() {
        return host.gate().faults().leaving();
    }

    @Override
    public StreamObserver<ConnectionRequest> open(StreamObserver<ConnectionReply> observer) {
        Link link = new Link();
        Reply<ConnectionReply> reply = Reply.of(observer, link::cancelled);
        link.accept(reply);
        return link;
    }

    @Override
    public void status(StatusRequest request, StreamObserver<StatusReply> observer) {
        Reply<StatusReply> reply = Reply.of(observer);
        host.gate().admit(reply, () -> host.statusWaiters().add(request, reply));
    }

    @Override
    public void fence(FenceRequest request, StreamObserver<FenceReply> observer) {
        Reply<FenceReply> reply = Reply.of(observer);
        admitTerm(request.getTerm(), reply, () -> {
            Term before = host.database().fencedTerm();
            boolean accepted = host.database().fence(Term.of(request.getTerm()));
            if (host.database().fencedTerm().isAfter(before)) {
                host.link().stop();
                host.roleChanged();
            }
            host.gate()
                    .answerEffect(
                            reply,
                            FenceReply.newBuilder()
                                    .setAccepted(accepted)
                                    .setStatus(host.status())
                                    .build());
        });
    }

    @Override
    public void promote(PromoteRequest request, StreamObserver<PromoteReply> observer) {
        Reply<PromoteReply> reply = Reply.of(observer);
        admitTerm(request.getTerm(), reply, () -> {
            boolean wasPrimary = host.database().isPrimary();
            Term before = host.database().fencedTerm();
            String refusal = host.database().promote(Term.of(request.getTerm()));
            if (refusal.isEmpty() && !(wasPrimary && before.number() == request.getTerm())) {
                host.roleChanged();
            }
            PromoteReply.Builder answer =
                    PromoteReply.newBuilder().setAccepted(refusal.isEmpty()).setDetail(refusal);
            if (refusal.isEmpty()) {
                answer.setStartPosition(host.database().termStarts().getLast().position());
            }
            host.gate().answerEffect(reply, answer.build());
        });
    }

    @Override
    public void follow(FollowRequest request, StreamObserver<FollowReply> observer) {
        Reply<FollowReply> reply = Reply.of(observer);
        admitTerm(request.getTerm(), reply, () -> {
            Term term = Term.of(request.getTerm());
            Term before = host.database().fencedTerm();
            boolean accepted = host.database().follow(term);
            if (term.isAfter(before)) {
                host.link().stop();
                host.roleChanged();
            }
            if (accepted) {
                host.link().start(new ReplicationLink.Source(term, request.getPrimaryAddress()));
            }
            FollowReply answer = FollowReply.newBuilder()
                    .setAccepted(accepted)
                    .setDetail(
                            accepted
                                    ? ""
                                    : "fenced at term "
                                            + host.database().fencedTerm().number())
                    .build();
            host.gate().answerEffect(reply, answer);
        });
    }

    @Override
    public void replicate(ReplicateRequest request, StreamObserver<ReplicateReply> observer) {
        Reply<ReplicateReply> reply = Reply.of(observer);
        admitTerm(request.getTerm(), reply, () -> host.feeds().open(request, reply));
    }

    private void admitTerm(long term, Reply<?> reply, Runnable call) {
        if (term < 0) {
            owner.execute(() -> reply.fail(Status.INVALID_ARGUMENT.withDescription("negative term")));
            return;
        }
        host.gate().admit(reply, call);
    }

    /** Hands the events of one stream over to the owner. */
    private final class Link implements StreamObserver<ConnectionRequest> {
        private ConnectionHandler handler;

        void accept(Reply<ConnectionReply> reply) {
            owner.execute(() -> {
                handler = new ConnectionHandler(host, reply);
                if (!host.gate().holds(reply)) {
                    handler.open();
                }
            });
        }

        void cancelled() {
            owner.execute(() -> handler.cancelled());
        }

        @Override
        public void onNext(ConnectionRequest request) {
            owner.execute(() -> handler.command(request));
        }

        @Override
        public void onError(Throwable failure) {
            owner.execute(() -> handler.cancelled());
        }

        @Override
        public void onCompleted() {
            owner.execute(() -> handler.inputEnded());
        }
    }
}
