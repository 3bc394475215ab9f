package org.geraniumproxy.standin.runtime;

import io.grpc.stub.StreamObserver;
import org.geraniumproxy.protocol.FaultReply;
import org.geraniumproxy.protocol.FaultRequest;
import org.geraniumproxy.protocol.FaultServiceGrpc;
import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.HistoryRequest;

/** Fault injection over gRPC. It answers whatever faults are in force. */
public final class FaultServer extends FaultServiceGrpc.FaultServiceImplBase {
    private final Owner owner;
    private final FaultTarget target;

    /**
     * Creates the service.
     *
     * @param owner the owner of the stand-in
     * @param target the stand-in
     */
    public FaultServer(Owner owner, FaultTarget target) {
        this.owner = owner;
        this.target = target;
    }

    @Override
    public void inject(FaultRequest request, StreamObserver<FaultReply> observer) {
        Reply<FaultReply> reply = Reply.of(observer);
        owner.execute(() -> {
            target.inject(Faults.of(request));
            reply.sendLast(FaultReply.getDefaultInstance());
        });
    }

    @Override
    public void history(HistoryRequest request, StreamObserver<HistoryReply> observer) {
        Reply<HistoryReply> reply = Reply.of(observer);
        owner.execute(() -> reply.sendLast(target.history()));
    }
}
