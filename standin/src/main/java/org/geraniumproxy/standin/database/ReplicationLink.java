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

/** The stream on which a replica receives the log of its primary. Confined to the owner. */
final class ReplicationLink {
    /** Pause before a replica calls its primary again after the stream ended. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);

    /**
     * A primary to replicate from.
     *
     * @param term its term
     * @param address its address
     */
    record Source(Term term, String address) {}

    private final DatabaseHost host;
    private final ChannelFactory channels;
    private Optional<Source> source = Optional.empty();
    private Optional<ManagedChannel> channel = Optional.empty();
    private Instant lastApplyTime = Instant.EPOCH;
    private long generation;

    ReplicationLink(DatabaseHost host, ChannelFactory channels) {
        this.host = host;
        this.channels = channels;
    }

    void start(Source newSource) {
        if (source.equals(Optional.of(newSource))) {
            return;
        }
        stop();
        source = Optional.of(newSource);
        connect();
    }

    /** Ends the stream; entries that were received but not yet applied are dropped. */
    void stop() {
        generation++;
        source = Optional.empty();
        closeChannel();
    }

    /** Opens the stream to the same primary again. */
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
        if (source.isEmpty() || !host.isReachable()) {
            return;
        }
        generation++;
        Term term = source.orElseThrow().term();
        // A new channel does not wait for the reconnect delay of an earlier one.
        ManagedChannel open = channels.open(source.orElseThrow().address());
        channel = Optional.of(open);
        ReplicateRequest request = ReplicateRequest.newBuilder()
                .setReplica(host.name())
                .setTerm(term.number())
                .addAllTermStarts(Messages.encodeStarts(host.database().log().segments()))
                .setPosition(host.database().log().position())
                .build();
        Receiver receiver = new Receiver(generation, term);
        // In the context of the call that started the link, the stream would end together with that call.
        Context.ROOT.run(() -> BackendServiceGrpc.newStub(open).replicate(request, receiver));
    }

    private void ended(long ofGeneration) {
        if (ofGeneration == generation) {
            generation++;
            long retry = generation;
            host.owner().schedule(RETRY_INTERVAL, () -> {
                if (retry == generation) {
                    connect();
                }
            });
        }
    }

    private void receive(Receiver receiver, ReplicateReply message) {
        if (receiver.generation != generation || !host.isReachable()) {
            return;
        }
        Instant now = host.owner().now();
        if (!message.getAccepted()) {
            return;
        }
        if (!receiver.begun) {
            receiver.begun = true;
            host.database()
                    .beginReplication(
                            receiver.term,
                            message.getTruncateAfter(),
                            Messages.decodeStarts(message.getTermStartsList()),
                            now);
            lastApplyTime = now;
            host.statusWaiters().answerReady(true);
            return;
        }
        host.database().heardFromPrimary(now);
        if (message.getEntriesCount() > 0) {
            applyLater(Messages.decodeEntries(message.getEntriesList()), now);
        }
    }

    private void applyLater(List<DatabaseLog.Entry> entries, Instant now) {
        Duration lag =
                host.gate().faults().replicationLag().orElse(host.settings().replicationLag());
        Instant due = now.plus(lag);
        // A shortened lag must not apply later entries before earlier ones.
        lastApplyTime = due.isAfter(lastApplyTime) ? due : lastApplyTime;
        long ofGeneration = generation;
        Duration delay = Duration.between(now, lastApplyTime);
        if (delay.isZero()) {
            apply(entries, ofGeneration);
        } else {
            host.owner().schedule(delay, () -> apply(entries, ofGeneration));
        }
    }

    private void apply(List<DatabaseLog.Entry> entries, long ofGeneration) {
        if (ofGeneration == generation && host.isReachable()) {
            host.database().replicate(entries);
            host.logChanged();
        }
    }

    private final class Receiver implements StreamObserver<ReplicateReply> {
        private final long generation;
        private final Term term;
        private boolean begun;

        Receiver(long generation, Term term) {
            this.generation = generation;
            this.term = term;
        }

        @Override
        public void onNext(ReplicateReply message) {
            host.owner().execute(() -> receive(this, message));
        }

        @Override
        public void onError(Throwable failure) {
            host.owner().execute(() -> ended(generation));
        }

        @Override
        public void onCompleted() {
            host.owner().execute(() -> ended(generation));
        }
    }
}
