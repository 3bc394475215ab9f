package org.geraniumproxy.proxy.store;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.geraniumproxy.protocol.CompareAndSwapReply;
import org.geraniumproxy.protocol.CompareAndSwapRequest;
import org.geraniumproxy.protocol.GetReply;
import org.geraniumproxy.protocol.GetRequest;
import org.geraniumproxy.protocol.StoreServiceGrpc;
import org.geraniumproxy.protocol.StoreServiceGrpc.StoreServiceStub;
import org.geraniumproxy.protocol.WatchRequest;
import org.geraniumproxy.proxy.transport.UnaryReply;

/** Accesses the platform's store over gRPC. */
public final class GrpcPlatformStore implements PlatformStore {
    /** Timeout of a call. A watch adds the wait that it asks for. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final ManagedChannel channel;
    private final Executor executor;

    /**
     * Creates a client.
     *
     * @param channel channel to the store, closed with the client
     * @param executor completes the futures, so that no continuation runs on a transport thread
     */
    public GrpcPlatformStore(ManagedChannel channel, Executor executor) {
        this.channel = channel;
        this.executor = executor;
    }

    @Override
    public CompletableFuture<StoredValue> get(String key) {
        GetRequest request = GetRequest.newBuilder().setKey(key).build();
        return call(CALL_TIMEOUT, (stub, reply) -> stub.get(request, reply), GrpcPlatformStore::decodeStoredValue);
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(String key, long expectedRevision, ByteString value) {
        CompareAndSwapRequest request = CompareAndSwapRequest.newBuilder()
                .setKey(key)
                .setExpectedRevision(expectedRevision)
                .setValue(value)
                .build();
        return call(
                CALL_TIMEOUT,
                (stub, reply) -> stub.compareAndSwap(request, reply),
                GrpcPlatformStore::decodeSwapResult);
    }

    @Override
    public CompletableFuture<StoredValue> watch(String key, long knownRevision, Duration wait) {
        WatchRequest request = WatchRequest.newBuilder()
                .setKey(key)
                .setKnownRevision(knownRevision)
                .setWaitMillis(wait.toMillis())
                .build();
        return call(
                CALL_TIMEOUT.plus(wait),
                (stub, reply) -> stub.watch(request, reply),
                GrpcPlatformStore::decodeStoredValue);
    }

    @Override
    public void close() {
        channel.shutdownNow();
    }

    private static StoredValue decodeStoredValue(GetReply reply) {
        return new StoredValue(reply.getRevision(), reply.getValue());
    }

    private static SwapResult decodeSwapResult(CompareAndSwapReply reply) {
        return new SwapResult(reply.getSwapped(), new StoredValue(reply.getRevision(), reply.getValue()));
    }

    private <R, T> CompletableFuture<T> call(
            Duration timeout, BiConsumer<StoreServiceStub, UnaryReply<R>> start, Function<R, T> decoder) {
        UnaryReply<R> reply = new UnaryReply<>();
        StoreServiceStub stub =
                StoreServiceGrpc.newStub(channel).withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
        start.accept(stub, reply);
        return reply.future().thenApplyAsync(decoder, executor);
    }
}
