package org.geraniumproxy.engine.traffic;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.caller.ConnectionState;
import org.geraniumproxy.core.caller.ConnectionStateTracker;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.memory.MemoryHolder;
import org.geraniumproxy.engine.loop.StreamConnection;
import org.geraniumproxy.engine.loop.StreamHandler;

/** Connection to a database, used on the traffic thread. It processes one batch of commands at a time. */
final class BackendConnection implements StreamHandler, HeldMemory.Holder {
    /** Receives the events of a connection. */
    interface Listener {
        void onOpened(BackendConnection connection);

        void onOpeningRefused(BackendConnection connection, BackendReply reply);

        void onReplies(BackendConnection connection, List<BackendReply> replies);

        void onLost(BackendConnection connection, String reason);
    }

    private final long id;
    private final CustomerName customer;
    private final Listener listener;
    private final BackendProtocol protocol;
    private BackendProtocol.Decoder decoder;
    private final byte[] openingRequest;
    private final List<BackendReply> replies = new ArrayList<>();
    private final HeldMemory memory;
    private final long memoryId;
    private long collectedBytes;
    private StreamConnection stream;
    private ConnectionStateTracker tracker = ConnectionStateTracker.NEW;
    private Instant lastReplyAt = Instant.MIN;
    private int expectedReplies;
    private ByteArrayOutputStream encodedReplies;
    private boolean open;
    private boolean closed;

    BackendConnection(
            long id,
            CustomerName customer,
            Listener listener,
            BackendProtocol protocol,
            byte[] openingRequest,
            HeldMemory memory) {
        this.id = id;
        this.customer = customer;
        this.listener = listener;
        this.protocol = protocol;
        this.decoder = protocol.decoder(memory.budget().connectionBytes());
        this.openingRequest = openingRequest;
        this.memory = memory;
        this.memoryId = memory.nextId();
    }

    long id() {
        return id;
    }

    CustomerName customer() {
        return customer;
    }

    boolean isOpen() {
        return open && !closed;
    }

    /** Returns the state after the last answered commands of this VM. */
    ConnectionState state() {
        return tracker.state();
    }

    boolean isStateKnown() {
        return tracker.isKnown();
    }

    /** Sets the state that follows from encoded commands, which this connection doesn't read. */
    void adoptState(ConnectionState state) {
        tracker = ConnectionStateTracker.of(state);
    }

    Instant lastReplyAt() {
        return lastReplyAt;
    }

    void recordReplyAt(Instant now) {
        lastReplyAt = now;
    }

    void attach(StreamConnection connection) {
        stream = connection;
    }

    /** Sends encoded commands, and keeps the bytes of their replies. */
    void sendEncoded(int replyCount, ByteBuffer commands) {
        expectedReplies = replyCount;
        replies.clear();
        encodedReplies = new ByteArrayOutputStream();
        byte[] copy = new byte[commands.remaining()];
        commands.duplicate().get(copy);
        stream.send(copy);
    }

    /** Returns the bytes of the replies to the last encoded commands. */
    ByteBuffer takeEncodedReplies() {
        ByteBuffer taken = ByteBuffer.wrap(encodedReplies.toByteArray());
        encodedReplies = null;
        return taken;
    }

    void send(List<BackendCommand> commands) {
        expectedReplies = commands.size();
        tracker = tracker.sent(commands);
        replies.clear();
        encodedReplies = null;
        for (BackendCommand command : commands) {
            stream.send(protocol.encodeCommand(command));
        }
    }

    /** Closes the connection without notifying the listener. */
    void discard(String reason) {
        closed = true;
        forgetContent();
        stream.close(reason);
    }

    @Override
    public void onConnected() {
        stream.send(openingRequest);
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        if (encodedReplies != null) {
            byte[] copy = new byte[bytes.remaining()];
            bytes.duplicate().get(copy);
            encodedReplies.writeBytes(copy);
        }
        List<BackendReply> decoded;
        try {
            decoded = decoder.decode(bytes);
        } catch (IllegalArgumentException e) {
            stream.close("invalid reply: " + e.getMessage());
            return;
        }
        for (BackendReply reply : decoded) {
            if (!closed) {
                handleReply(reply);
            }
        }
        memory.report(memoryId, this, heldBytes());
    }

    @Override
    public void onClosed(String reason) {
        forgetContent();
        if (!closed) {
            closed = true;
            listener.onLost(this, reason);
        }
    }

    /** Describes replies that are collected for a caller. They are never discarded for the sake of another one. */
    @Override
    public MemoryHolder describe(long memoryHolderId) {
        return new MemoryHolder(memoryHolderId, MemoryHolder.Kind.DATABASE, heldBytes(), true, false, Instant.EPOCH);
    }

    @Override
    public void pauseReading(boolean paused) {
        stream.pauseReading(paused);
    }

    @Override
    public void closeForMemory(long totalBytes) {}

    @Override
    public void closeIfStalled(Instant now) {}

    /** Gives the texts of a closed connection back. The timer of its opening refers to it for up to 1.5 s. */
    private void forgetContent() {
        tracker = ConnectionStateTracker.NEW;
        replies.clear();
        decoder = protocol.decoder();
        forgetReplies();
    }

    private void forgetReplies() {
        collectedBytes = 0;
        memory.report(memoryId, this, 0);
    }

    private long heldBytes() {
        return closed ? 0 : collectedBytes + decoder.partialBytes();
    }

    private void handleReply(BackendReply reply) {
        if (!open) {
            if (reply.isCompleted()) {
                open = true;
                forgetReplies();
                listener.onOpened(this);
            } else {
                closed = true;
                listener.onOpeningRefused(this, reply);
                stream.close("refused by the database");
            }
            return;
        }
        if (expectedReplies == 0) {
            stream.close("unexpected reply");
            return;
        }
        replies.add(reply);
        collectedBytes += CallerMessage.CHARACTER_BYTES
                * reply.rows().stream().mapToLong(String::length).sum();
        if (replies.size() == expectedReplies) {
            expectedReplies = 0;
            List<BackendReply> complete = List.copyOf(replies);
            replies.clear();
            forgetReplies();
            if (encodedReplies == null) {
                tracker = tracker.answered(complete);
            }
            listener.onReplies(this, complete);
        }
    }
}
