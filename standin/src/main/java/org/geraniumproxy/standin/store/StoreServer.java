package org.geraniumproxy.standin.store;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.protocol.CompareAndSwapReply;
import org.geraniumproxy.protocol.CompareAndSwapRequest;
import org.geraniumproxy.protocol.GetReply;
import org.geraniumproxy.protocol.GetRequest;
import org.geraniumproxy.protocol.GrantLeaseRequest;
import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.KeepLeaseAliveRequest;
import org.geraniumproxy.protocol.LeaseReply;
import org.geraniumproxy.protocol.StoreServiceGrpc;
import org.geraniumproxy.protocol.StoreStatisticsReply;
import org.geraniumproxy.protocol.StoreStatisticsRequest;
import org.geraniumproxy.protocol.WatchRequest;
import org.geraniumproxy.standin.runtime.FaultFilter;
import org.geraniumproxy.standin.runtime.FaultTarget;
import org.geraniumproxy.standin.runtime.Faults;
import org.geraniumproxy.standin.runtime.ReplyStream;
import org.geraniumproxy.standin.runtime.SerialExecutor;

/** gRPC service of the key-value store. Its statistics count every call on arrival, even while the store is down. */
public final class StoreServer extends StoreServiceGrpc.StoreServiceImplBase implements FaultTarget {
    private record Watcher(String key, long knownRevision, Instant deadline, ReplyStream<GetReply> reply) {}

    private final SerialExecutor executor;
    private final FaultFilter faultFilter;
    private final KeyValueStore store = new KeyValueStore();
    private final List<Watcher> watchers = new ArrayList<>();
    private long reads;
    private long writes;
    private long watches;

    /**
     * Creates an empty store.
     *
     * @param executor runs everything that touches its state
     */
    public StoreServer(SerialExecutor executor) {
        this.executor = executor;
        this.faultFilter = new FaultFilter(executor);
    }

    @Override
    public void get(GetRequest request, StreamObserver<GetReply> observer) {
        ReplyStream<GetReply> reply = ReplyStream.of(observer);
        executor.execute(() -> reads++);
        faultFilter.dispatch(reply, () -> faultFilter.sendReply(reply, currentReply(request.getKey())));
    }

    @Override
    public void compareAndSwap(CompareAndSwapRequest request, StreamObserver<CompareAndSwapReply> observer) {
        ReplyStream<CompareAndSwapReply> reply = ReplyStream.of(observer);
        executor.execute(() -> writes++);
        faultFilter.dispatch(reply, () -> swap(request, reply));
    }

    @Override
    public void watch(WatchRequest request, StreamObserver<GetReply> observer) {
        ReplyStream<GetReply> reply = ReplyStream.of(observer);
        executor.execute(() -> watches++);
        faultFilter.dispatch(reply, () -> startWatch(request, reply));
    }

    @Override
    public void grantLease(GrantLeaseRequest request, StreamObserver<LeaseReply> observer) {
        ReplyStream<LeaseReply> reply = ReplyStream.of(observer);
        executor.execute(() -> writes++);
        faultFilter.dispatch(reply, () -> {
            Duration timeToLive = Duration.ofMillis(request.getTimeToLiveMillis());
            long lease = store.grantLease(timeToLive, executor.now());
            executor.schedule(timeToLive, this::replyToWatchers);
            faultFilter.sendReplyAfterEffect(
                    reply, LeaseReply.newBuilder().setHeld(true).setLease(lease).build());
        });
    }

    @Override
    public void keepLeaseAlive(KeepLeaseAliveRequest request, StreamObserver<LeaseReply> observer) {
        ReplyStream<LeaseReply> reply = ReplyStream.of(observer);
        executor.execute(() -> writes++);
        faultFilter.dispatch(reply, () -> {
            Optional<Duration> timeToLive = store.keepLeaseAlive(request.getLease(), executor.now());
            timeToLive.ifPresent(duration -> executor.schedule(duration, this::replyToWatchers));
            LeaseReply answer = LeaseReply.newBuilder()
                    .setHeld(timeToLive.isPresent())
                    .setLease(request.getLease())
                    .build();
            faultFilter.sendReplyAfterEffect(reply, answer);
        });
    }

    @Override
    public void statistics(StoreStatisticsRequest request, StreamObserver<StoreStatisticsReply> observer) {
        ReplyStream<StoreStatisticsReply> reply = ReplyStream.of(observer);
        executor.execute(() -> reply.sendAndComplete(StoreStatisticsReply.newBuilder()
                .setReads(reads)
                .setWrites(writes)
                .setWatches(watches)
                .build()));
    }

    @Override
    public void inject(Faults faults) {
        faultFilter.inject(faults);
        if (faults.down()) {
            watchers.forEach(watcher -> faultFilter.suppressReply(watcher.reply()));
            watchers.clear();
        }
    }

    @Override
    public HistoryReply history() {
        return HistoryReply.getDefaultInstance();
    }

    private void swap(CompareAndSwapRequest request, ReplyStream<CompareAndSwapReply> reply) {
        KeyValueStore.SwapResult result;
        try {
            result = store.compareAndSwap(
                    request.getKey(),
                    request.getExpectedRevision(),
                    request.getValue(),
                    request.getLease(),
                    executor.now());
        } catch (IllegalArgumentException e) {
            reply.fail(Status.INVALID_ARGUMENT.withDescription(e.getMessage()));
            return;
        }
        CompareAndSwapReply.Builder answer = CompareAndSwapReply.newBuilder().setSwapped(result.swapped());
        result.current().ifPresent(entry -> answer.setValue(entry.value()).setRevision(entry.revision()));
        if (result.swapped()) {
            faultFilter.sendReplyAfterEffect(reply, answer.build());
            replyToWatchers();
        } else {
            faultFilter.sendReply(reply, answer.build());
        }
    }

    private void startWatch(WatchRequest request, ReplyStream<GetReply> reply) {
        Duration wait = Duration.ofMillis(request.getWaitMillis());
        watchers.add(new Watcher(
                request.getKey(), request.getKnownRevision(), executor.now().plus(wait), reply));
        replyToWatchers();
        executor.schedule(wait, this::replyToWatchers);
    }

    private void replyToWatchers() {
        watchers.removeIf(watcher -> {
            if (watcher.reply().isClosed()) {
                return true;
            }
            GetReply current = currentReply(watcher.key());
            boolean changed = current.getRevision() != watcher.knownRevision();
            if (!changed && watcher.deadline().isAfter(executor.now())) {
                return false;
            }
            faultFilter.sendReply(watcher.reply(), current);
            return true;
        });
    }

    private GetReply currentReply(String key) {
        return store.get(key, executor.now())
                .map(entry -> GetReply.newBuilder()
                        .setFound(true)
                        .setValue(entry.value())
                        .setRevision(entry.revision())
                        .build())
                .orElse(GetReply.getDefaultInstance());
    }
}
