package org.geraniumproxy.standin.database;

import io.grpc.Context;
import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.protocol.BackendServiceGrpc;
import org.geraniumproxy.protocol.ReplicateReply;
import org.geraniumproxy.protocol.ReplicateRequest;

/** Receives the log of the primary on a replica and applies it after the replication lag. Confined to the executor. */
final class ReplicationReceiver {
    /** Delay before a replica reconnects to its primary after the stream ended. */
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /**
     * The primary to replicate from.
     *
     * @param term term of the primary
     * @param address address of the primary
     */
    record Source(Term term, String address) {}

    private final DatabaseNode node;
    private final ChannelFactory channelFactory;
    private Optional<Source> source = Optional.empty();
    private Optional<ManagedChannel> channel = Optional.empty();
    private Instant lastApplyTime = Instant.EPOCH;
    /** Counts the connections, so that events of an earlier one are ignored. */
    private long generation;

    ReplicationReceiver(DatabaseNode node, ChannelFactory channelFactory) {
        this.node = node;
        this.channelFactory = channelFactory;
    }

    void start(Source newSource) {
        if (source.equals(Optional.of(newSource))) {
            return;
        }
        stop();
        source = Optional.of(newSource);
        connect();
    }

    /** Closes the stream and discards entries that were received but not yet applied. */
    void stop() {
        generation++;
        source = Optional.empty();
        closeChannel();
    }

    /** Reconnects to the same primary and discards entries that were received but not yet applied. */
    void restart() {
        generation++;
        connect();
    }

    private void closeChannel() {
        channel.ifPresent(ManagedChannel::shutdownNow);
        channel = Optional.empty();
    }

    private void connect() {
        closeChannel();
        if (source.isEmpty() || !node.isReachable()) {
            return;
        }
        generation++;
        Term term = source.orElseThrow().term();
        // A new channel avoids the reconnect backoff of the previous one.
        ManagedChannel newChannel =
                channelFactory.openChannel(source.orElseThrow().address());
        channel = Optional.of(newChannel);
        ReplicateRequest request = ReplicateRequest.newBuilder()
                .setReplica(node.name())
                .setTerm(term.number())
                .addAllTermStarts(
                        MessageCodec.encodeTermStarts(node.database().log().segments()))
                .setPosition(node.database().log().position())
                .build();
        LogObserver observer = new LogObserver(generation, term);
        // In the gRPC context of the call that started replication, the stream would be cancelled when that call ends.
        Context.ROOT.run(() -> BackendServiceGrpc.newStub(newChannel).replicate(request, observer));
    }

    private void onStreamEnded(long streamGeneration) {
        if (streamGeneration == generation) {
            generation++;
            long retryGeneration = generation;
            node.executor().schedule(RETRY_DELAY, () -> {
                if (retryGeneration == generation) {
                    connect();
                }
            });
        }
    }

    private void receive(LogObserver observer, ReplicateReply message) {
        if (observer.generation != generation || !node.isReachable()) {
            return;
        }
        Instant now = node.executor().now();
        if (!message.getAccepted()) {
            return;
        }
        if (!observer.started) {
            observer.started = true;
            node.database()
                    .beginReplication(
                            observer.term,
                            message.getTruncateAfter(),
                            MessageCodec.decodeTermStarts(message.getTermStartsList()),
                            now);
            lastApplyTime = now;
            node.pendingStatusRequests().replyToReady(true);
            return;
        }
        node.database().recordPrimaryContact(now);
        if (message.getEntriesCount() > 0) {
            scheduleApply(MessageCodec.decodeEntries(message.getEntriesList()), now);
        }
    }

    private void scheduleApply(List<DatabaseLog.Entry> entries, Instant now) {
        Duration lag = node.faultFilter()
                .faults()
                .replicationLag()
                .orElse(node.settings().replicationLag());
        Instant due = now.plus(lag);
        // Keeps the entries in order when the lag was shortened in between.
        lastApplyTime = due.isAfter(lastApplyTime) ? due : lastApplyTime;
        long streamGeneration = generation;
        Duration delay = Duration.between(now, lastApplyTime);
        if (delay.isZero()) {
            apply(entries, streamGeneration);
        } else {
            node.executor().schedule(delay, () -> apply(entries, streamGeneration));
        }
    }

    private void apply(List<DatabaseLog.Entry> entries, long streamGeneration) {
        if (streamGeneration == generation && node.isReachable()) {
            node.database().replicate(entries);
            node.onLogChanged();
        }
    }

    private final class LogObserver implements StreamObserver<ReplicateReply> {
        private final long generation;
        private final Term term;
        private boolean started;

        LogObserver(long generation, Term term) {
            this.generation = generation;
            this.term = term;
        }

        @Override
        public void onNext(ReplicateReply message) {
            node.executor().execute(() -> receive(this, message));
        }

        @Override
        public void onError(Throwable failure) {
            node.executor().execute(() -> onStreamEnded(generation));
        }

        @Override
        public void onCompleted() {
            node.executor().execute(() -> onStreamEnded(generation));
        }
    }
}
