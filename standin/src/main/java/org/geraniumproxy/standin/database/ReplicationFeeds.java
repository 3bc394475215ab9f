package org.geraniumproxy.standin.database;

import io.grpc.Status;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.protocol.ReplicateReply;
import org.geraniumproxy.protocol.ReplicateRequest;
import org.geraniumproxy.standin.runtime.FaultGate;
import org.geraniumproxy.standin.runtime.Owner;
import org.geraniumproxy.standin.runtime.Reply;

/** The streams on which a primary sends its log to its replicas. Confined to the owner. */
final class ReplicationFeeds {
    /** Interval of the empty messages by which a replica knows that its primary lives. */
    static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(50);

    private static final class Feed {
        private final Reply<ReplicateReply> reply;
        private long sentPosition;

        Feed(Reply<ReplicateReply> reply, long sentPosition) {
            this.reply = reply;
            this.sentPosition = sentPosition;
        }
    }

    private final Owner owner;
    private final FaultGate gate;
    private final Database database;
    private final List<Feed> feeds = new ArrayList<>();
    private boolean heartbeatScheduled;

    ReplicationFeeds(Owner owner, FaultGate gate, Database database) {
        this.owner = owner;
        this.gate = gate;
        this.database = database;
    }

    void open(ReplicateRequest request, Reply<ReplicateReply> reply) {
        if (!database.isPrimary() || !database.serves(Term.of(request.getTerm()))) {
            gate.answer(
                    reply,
                    ReplicateReply.newBuilder()
                            .setAccepted(false)
                            .setTerm(database.fencedTerm().number())
                            .build());
            return;
        }
        long common = database.log()
                .commonPosition(Messages.decodeStarts(request.getTermStartsList()), request.getPosition());
        reply.send(message()
                .setTruncateAfter(common)
                .addAllTermStarts(Messages.encodeStarts(database.termStarts()))
                .build());
        feeds.add(new Feed(reply, common));
        ship();
        scheduleHeartbeat();
    }

    /**
     * Sends each replica the entries that it lacks. All of them go in one message, so that a replica never applies a
     * part of a transaction.
     */
    void ship() {
        if (gate.faults().isolated()) {
            return;
        }
        feeds.removeIf(feed -> feed.reply.isOver());
        for (Feed feed : feeds) {
            if (feed.sentPosition < database.log().position()) {
                List<DatabaseLog.Entry> entries = database.log().after(feed.sentPosition);
                feed.sentPosition = database.log().position();
                feed.reply.send(
                        message().addAllEntries(Messages.encodeEntries(entries)).build());
            }
        }
    }

    void endAll() {
        feeds.forEach(feed -> feed.reply.fail(Status.UNAVAILABLE.withDescription("replication ended")));
        feeds.clear();
    }

    private void scheduleHeartbeat() {
        if (!heartbeatScheduled) {
            heartbeatScheduled = true;
            owner.schedule(HEARTBEAT_INTERVAL, this::sendHeartbeats);
        }
    }

    private void sendHeartbeats() {
        heartbeatScheduled = false;
        ship();
        if (feeds.isEmpty()) {
            return;
        }
        if (!gate.faults().isolated()) {
            feeds.forEach(feed -> feed.reply.send(message().build()));
        }
        scheduleHeartbeat();
    }

    private ReplicateReply.Builder message() {
        return ReplicateReply.newBuilder()
                .setAccepted(true)
                .setTerm(database.replicatingTerm().number());
    }
}
