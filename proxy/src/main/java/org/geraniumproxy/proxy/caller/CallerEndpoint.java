package org.geraniumproxy.proxy.caller;

import io.grpc.Status;
import io.grpc.stub.ServerCallStreamObserver;
import io.grpc.stub.StreamObserver;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import org.geraniumproxy.core.admission.CallerRequest;
import org.geraniumproxy.protocol.CallerServiceGrpc;
import org.geraniumproxy.protocol.ExecuteReply;
import org.geraniumproxy.protocol.ExecuteRequest;
import org.geraniumproxy.protocol.TransactionRequest;
import org.geraniumproxy.proxy.telemetry.Tracing;
import org.geraniumproxy.proxy.traffic.EntryHandler;
import org.jboss.logging.Logger;

/** Serves callers over gRPC. It translates messages and leaves every decision to the entry handler. */
public final class CallerEndpoint extends CallerServiceGrpc.CallerServiceImplBase {
    private static final Logger log = Logger.getLogger(CallerEndpoint.class);

    private final EntryHandler entry;
    private final ExecutorService executor;

    /**
     * Creates the service.
     *
     * @param entry takes the requests
     * @param executor runs requests on virtual threads, each of which may block
     */
    public CallerEndpoint(EntryHandler entry, ExecutorService executor) {
        this.entry = entry;
        this.executor = Tracing.carrying(executor);
    }

    @Override
    public void execute(ExecuteRequest message, StreamObserver<ExecuteReply> replies) {
        CallerRequest request = CallerMessages.read(message);
        var unused = CompletableFuture.supplyAsync(() -> entry.execute(request), executor)
                .thenApply(CallerMessages::write)
                .handle((reply, failure) -> {
                    if (failure == null) {
                        replies.onNext(reply);
                        replies.onCompleted();
                    } else {
                        log.errorf(failure, "caller: a request failed");
                        replies.onError(Status.INTERNAL
                                .withDescription("the proxy failed; the outcome is unknown")
                                .asRuntimeException());
                    }
                    return null;
                });
    }

    @Override
    public StreamObserver<TransactionRequest> transact(StreamObserver<ExecuteReply> replies) {
        ServerCallStreamObserver<ExecuteReply> stream = (ServerCallStreamObserver<ExecuteReply>) replies;
        return new CallerTransactionStream(entry, executor, stream).start();
    }
}
