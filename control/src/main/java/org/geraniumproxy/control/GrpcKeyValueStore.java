package org.geraniumproxy.control;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.protocol.CompareAndSwapReply;
import org.geraniumproxy.protocol.CompareAndSwapRequest;
import org.geraniumproxy.protocol.GetReply;
import org.geraniumproxy.protocol.GetRequest;
import org.geraniumproxy.protocol.StoreServiceGrpc;

/** Client of the platform's store over gRPC, with a timeout for each call. */
final class GrpcKeyValueStore implements KeyValueStore {
    private final ManagedChannel channel;
    private final StoreServiceGrpc.StoreServiceStub stub;
    private final EventLoop eventLoop;
    private final Duration timeout;

    GrpcKeyValueStore(ManagedChannel channel, EventLoop eventLoop, Duration timeout) {
        this.channel = channel;
        this.stub = StoreServiceGrpc.newStub(channel);
        this.eventLoop = eventLoop;
        this.timeout = timeout;
    }

    @Override
    public CompletableFuture<StoredValue> get(String key) {
        GetRequest request = GetRequest.newBuilder().setKey(key).build();
        return UnaryCall.<GetReply>start(eventLoop, timeout, observer -> stub.get(request, observer))
                .thenApply(GrpcKeyValueStore::toStoredValue);
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, long expectedRevision, ByteString value) {
        CompareAndSwapRequest request = CompareAndSwapRequest.newBuilder()
                .setKey(key)
                .setExpectedRevision(expectedRevision)
                .setValue(value)
                .build();
        return UnaryCall.<CompareAndSwapReply>start(
                        eventLoop, timeout, observer -> stub.compareAndSwap(request, observer))
                .thenApply(reply ->
                        new SwapResult(reply.getSwapped(), new StoredValue(reply.getRevision(), reply.getValue())));
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }

    private static StoredValue toStoredValue(GetReply reply) {
        return reply.getFound()
                ? new StoredValue(reply.getRevision(), reply.getValue())
                : new StoredValue(0, ByteString.EMPTY);
    }
}
