package org.geraniumproxy.standin.runtime;

import io.grpc.stub.StreamObserver;
import org.geraniumproxy.protocol.FaultReply;
import org.geraniumproxy.protocol.FaultRequest;
import org.geraniumproxy.protocol.FaultServiceGrpc;
import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.HistoryRequest;

/** gRPC service that injects faults into a stand-in. The injected faults don't affect this service itself. */
public final class FaultServer extends FaultServiceGrpc.FaultServiceImplBase {
    private final SerialExecutor executor;
    private final FaultTarget target;

    /**
     * Creates the service.
     *
     * @param executor the executor of the stand-in
     * @param target the stand-in that receives the faults
     */
    public FaultServer(SerialExecutor executor, FaultTarget target) {
        this.executor = executor;
        this.target = target;
    }

    @Override
    public void inject(FaultRequest request, StreamObserver<FaultReply> observer) {
        ReplyStream<FaultReply> reply = ReplyStream.of(observer);
        executor.execute(() -> {
            target.inject(Faults.of(request));
            reply.sendAndComplete(FaultReply.getDefaultInstance());
        });
    }

    @Override
    public void history(HistoryRequest request, StreamObserver<HistoryReply> observer) {
        ReplyStream<HistoryReply> reply = ReplyStream.of(observer);
        executor.execute(() -> reply.sendAndComplete(target.history()));
    }
}
