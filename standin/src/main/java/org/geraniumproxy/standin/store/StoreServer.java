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
import org.geraniumproxy.standin.runtime.FaultGate;
import org.geraniumproxy.standin.runtime.FaultTarget;
import org.geraniumproxy.standin.runtime.Faults;
import org.geraniumproxy.standin.runtime.Owner;
import org.geraniumproxy.standin.runtime.Reply;

/** The key-value store over gRPC. Every call is counted when it arrives, also while the store is down. */
public final class StoreServer extends StoreServiceGrpc.StoreServiceImplBase implements FaultTarget {
    private record Watcher(String key, long knownRevision, Instant end, Reply<GetReply> reply) {}

    private final Owner owner;
    private final FaultGate gate;
    private final KeyValueStore store = new KeyValueStore();
    private final List<Watcher> watchers = new ArrayList<>();
    private long reads;
    private long writes;
    private long watches;

    /**
     * Creates an empty store.
     *
     * @param owner the owner of its state
     */
    public StoreServer(Owner owner) {
        this.owner = owner;
        this.gate = new FaultGate(owner);
    }

    @Override
    public void get(GetRequest request, StreamObserver<GetReply> observer) {
        Reply<GetReply> reply = Reply.of(observer);
        owner.execute(() -> reads++);
        gate.admit(reply, () -> gate.answer(reply, current(request.getKey())));
    }

    @Override
    public void compareAndSwap(CompareAndSwapRequest request, StreamObserver<CompareAndSwapReply> observer) {
        Reply<CompareAndSwapReply> reply = Reply.of(observer);
        owner.execute(() -> writes++);
        gate.admit(reply, () -> swap(request, reply));
    }

    @Override
    public void watch(WatchRequest request, StreamObserver<GetReply> observer) {
        Reply<GetReply> reply = Reply.of(observer);
        owner.execute(() -> watches++);
        gate.admit(reply, () -> startWatch(request, reply));
    }

    @Override
    public void grantLease(GrantLeaseRequest request, StreamObserver<LeaseReply> observer) {
        Reply<LeaseReply> reply = Reply.of(observer);
        owner.execute(() -> writes++);
        gate.admit(reply, () -> {
            Duration timeToLive = Duration.ofMillis(request.getTimeToLiveMillis());
            long lease = store.grantLease(timeToLive, owner.now());
            owner.schedule(timeToLive, this::answerWatchers);
            gate.answerEffect(
                    reply, LeaseReply.newBuilder().setHeld(true).setLease(lease).build());
        });
    }

    @Override
    public void keepLeaseAlive(KeepLeaseAliveRequest request, StreamObserver<LeaseReply> observer) {
        Reply<LeaseReply> reply = Reply.of(observer);
        owner.execute(() -> writes++);
        gate.admit(reply, () -> {
            Optional<Duration> timeToLive = store.keepLeaseAlive(request.getLease(), owner.now());
            timeToLive.ifPresent(duration -> owner.schedule(duration, this::answerWatchers));
            LeaseReply answer = LeaseReply.newBuilder()
                    .setHeld(timeToLive.isPresent())
                    .setLease(request.getLease())
                    .build();
            gate.answerEffect(reply, answer);
        });
    }

    @Override
    public void statistics(StoreStatisticsRequest request, StreamObserver<StoreStatisticsReply> observer) {
        Reply<StoreStatisticsReply> reply = Reply.of(observer);
        owner.execute(() -> reply.sendLast(StoreStatisticsReply.newBuilder()
                .setReads(reads)
                .setWrites(writes)
                .setWatches(watches)
                .build()));
    }

    @Override
    public void inject(Faults faults) {
        gate.inject(faults);
        if (faults.down()) {
            watchers.forEach(watcher -> gate.holds(watcher.reply()));
            watchers.clear();
        }
    }

    @Override
    public HistoryReply history() {
        return HistoryReply.getDefaultInstance();
    }

    private void swap(CompareAndSwapRequest request, Reply<CompareAndSwapReply> reply) {
        KeyValueStore.Swap swap;
        try {
            swap = store.compareAndSwap(
                    request.getKey(),
                    request.getExpectedRevision(),
                    request.getValue(),
                    request.getLease(),
                    owner.now());
        } catch (IllegalArgumentException e) {
            reply.fail(Status.INVALID_ARGUMENT.withDescription(e.getMessage()));
            return;
        }
        CompareAndSwapReply.Builder answer = CompareAndSwapReply.newBuilder().setSwapped(swap.swapped());
        swap.current().ifPresent(entry -> answer.setValue(entry.value()).setRevision(entry.revision()));
        if (swap.swapped()) {
            gate.answerEffect(reply, answer.build());
            answerWatchers();
        } else {
            gate.answer(reply, answer.build());
        }
    }

    private void startWatch(WatchRequest request, Reply<GetReply> reply) {
        Duration wait = Duration.ofMillis(request.getWaitMillis());
        watchers.add(new Watcher(
                request.getKey(), request.getKnownRevision(), owner.now().plus(wait), reply));
        answerWatchers();
        owner.schedule(wait, this::answerWatchers);
    }

    private void answerWatchers() {
        watchers.removeIf(watcher -> {
            if (watcher.reply().isOver()) {
                return true;
            }
            GetReply current = current(watcher.key());
            boolean changed = current.getRevision() != watcher.knownRevision();
            if (!changed && watcher.end().isAfter(owner.now())) {
                return false;
            }
            gate.answer(watcher.reply(), current);
            return true;
        });
    }

    private GetReply current(String key) {
        return store.get(key, owner.now())
                .map(entry -> GetReply.newBuilder()
                        .setFound(true)
                        .setValue(entry.value())
                        .setRevision(entry.revision())
                        .build())
                .orElse(GetReply.getDefaultInstance());
    }
}
