package org.geraniumproxy.standin.database;

import io.grpc.Status;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.protocol.ReplicateReply;
import org.geraniumproxy.protocol.ReplicateRequest;
import org.geraniumproxy.standin.runtime.FaultFilter;
import org.geraniumproxy.standin.runtime.ReplyStream;
import org.geraniumproxy.standin.runtime.SerialExecutor;

/** Streams the log of a primary to its replicas. Confined to the executor. */
final class ReplicationSender {
    /** Interval of the empty messages that show a replica that its primary is alive. */
    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(50);

    private static final class ReplicaStream {
        private final ReplyStream<ReplicateReply> reply;
        private long sentPosition;

        ReplicaStream(ReplyStream<ReplicateReply> reply, long sentPosition) {
            this.reply = reply;
            this.sentPosition = sentPosition;
        }
    }

    private final SerialExecutor executor;
    private final FaultFilter faultFilter;
    private final Database database;
    private final List<ReplicaStream> streams = new ArrayList<>();
    private boolean heartbeatScheduled;

    ReplicationSender(SerialExecutor executor, FaultFilter faultFilter, Database database) {
        this.executor = executor;
        this.faultFilter = faultFilter;
        this.database = database;
    }

    void open(ReplicateRequest request, ReplyStream<ReplicateReply> reply) {
        if (!database.isPrimary() || !database.servesTerm(Term.of(request.getTerm()))) {
            faultFilter.sendReply(
                    reply,
                    ReplicateReply.newBuilder()
                            .setAccepted(false)
                            .setTerm(database.fencedTerm().number())
                            .build());
            return;
        }
        long commonPosition = database.log()
                .commonPosition(MessageCodec.decodeTermStarts(request.getTermStartsList()), request.getPosition());
        reply.send(message()
                .setTruncateAfter(commonPosition)
                .addAllTermStarts(MessageCodec.encodeTermStarts(database.termStarts()))
                .build());
        streams.add(new ReplicaStream(reply, commonPosition));
        sendEntries();
        scheduleHeartbeat();
    }

    /**
     * Sends each replica its missing entries. They go out in one message, so that a replica never applies only a part
     * of a transaction.
     */
    void sendEntries() {
        if (faultFilter.faults().isolated()) {
            return;
        }
        streams.removeIf(stream -> stream.reply.isClosed());
        for (ReplicaStream stream : streams) {
            if (stream.sentPosition < database.log().position()) {
                List<DatabaseLog.Entry> entries = database.log().entriesAfter(stream.sentPosition);
                stream.sentPosition = database.log().position();
                stream.reply.send(message()
                        .addAllEntries(MessageCodec.encodeEntries(entries))
                        .build());
            }
        }
    }

    void failAll() {
        streams.forEach(stream -> stream.reply.fail(Status.UNAVAILABLE.withDescription("replication ended")));
        streams.clear();
    }

    private void scheduleHeartbeat() {
        if (!heartbeatScheduled) {
            heartbeatScheduled = true;
            executor.schedule(HEARTBEAT_INTERVAL, this::sendHeartbeats);
        }
    }

    private void sendHeartbeats() {
        heartbeatScheduled = false;
        sendEntries();
        if (streams.isEmpty()) {
            return;
        }
        if (!faultFilter.faults().isolated()) {
            streams.forEach(stream -> stream.reply.send(message().build()));
        }
        scheduleHeartbeat();
    }

    private ReplicateReply.Builder message() {
        return ReplicateReply.newBuilder()
                .setAccepted(true)
                .setTerm(database.replicatingTerm().number());
    }
}
