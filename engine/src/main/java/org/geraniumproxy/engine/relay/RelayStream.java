package org.geraniumproxy.engine.relay;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.geraniumproxy.core.relay.RelayMessage;
import org.geraniumproxy.engine.loop.StreamConnection;
import org.geraniumproxy.engine.loop.StreamHandler;

/** Stream of messages to or from another VM, used on the thread of its event loop. */
public final class RelayStream implements StreamHandler {
    /** Receives the events of a stream. */
    public interface Listener {
        /**
         * Called for each message.
         *
         * @param stream the stream
         * @param message the message
         * @throws IllegalArgumentException if the sender may not send the message now, which closes the stream
         */
        void onMessage(RelayStream stream, RelayMessage message);

        /**
         * Called once when the stream has ended.
         *
         * @param stream the stream
         * @param reason cause, for the log
         */
        void onEnded(RelayStream stream, String reason);
    }

    /**
     * Output that may be pending. Below the bound at which a connection stops reading: two VMs that both wait for the
     * other to read would never go on.
     */
    static final int MAXIMUM_PENDING_BYTES = 3 * 1024 * 1024;

    private final long id;
    private final Listener listener;
    private final Supplier<Instant> clock;
    private final RelayFrameCodec.Decoder decoder = new RelayFrameCodec.Decoder();
    private final List<byte[]> unsent = new ArrayList<>();
    private final StreamConnection[] connection;
    private Instant lastReceivedAt;
    private Instant pingedAt = Instant.MIN;
    private int unsentBytes;
    private boolean connected;
    private boolean ended;

    /**
     * Creates a stream.
     *
     * @param id number of the stream, unique on this VM
     * @param connection one-element array that holds the connection before the first event
     * @param listener receives messages
     * @param clock monotonic clock
     */
    public RelayStream(long id, StreamConnection[] connection, Listener listener, Supplier<Instant> clock) {
        this.id = id;
        this.connection = connection;
        this.listener = listener;
        this.clock = clock;
        this.lastReceivedAt = clock.get();
    }

    /**
     * Returns the number of the stream.
     *
     * @return number, unique on this VM
     */
    public long id() {
        return id;
    }

    /**
     * Returns whether a message can be sent within the bounds of a frame and of the pending output.
     *
     * @param payloadBytes length of the payload
     * @return false if the message would be lost
     */
    public boolean accepts(int payloadBytes) {
        int pending = connected ? connection[0].pendingBytes() : unsentBytes;
        return !ended
                && payloadBytes <= RelayFrameCodec.MAXIMUM_FRAME_BYTES / 2
                && pending + payloadBytes <= MAXIMUM_PENDING_BYTES;
    }

    /**
     * Sends a message, after the stream is open. Ends the stream if the other side reads too slowly.
     *
     * @param message the message
     */
    public void send(RelayMessage message) {
        if (ended) {
            return;
        }
        if (message instanceof RelayMessage.Replies replies
                && replies.encoded().remaining() > RelayFrameCodec.MAXIMUM_REPLY_PART_BYTES) {
            sendInParts(replies);
            return;
        }
        byte[] frame;
        try {
            frame = RelayFrameCodec.encode(message);
        } catch (IllegalArgumentException e) {
            close("message not sent: " + e.getMessage());
            return;
        }
        if (connected) {
            connection[0].send(frame);
            if (connection[0].pendingBytes() > MAXIMUM_PENDING_BYTES + RelayFrameCodec.MAXIMUM_FRAME_BYTES) {
                close("the other VM does not read");
            }
        } else {
            unsent.add(frame);
            unsentBytes += frame.length;
            if (unsentBytes > MAXIMUM_PENDING_BYTES) {
                close("the other VM does not accept the stream");
            }
        }
    }

    private void sendInParts(RelayMessage.Replies replies) {
        ByteBuffer rest = replies.encoded().duplicate();
        while (rest.remaining() > RelayFrameCodec.MAXIMUM_REPLY_PART_BYTES) {
            ByteBuffer part = rest.slice(rest.position(), RelayFrameCodec.MAXIMUM_REPLY_PART_BYTES);
            rest.position(rest.position() + RelayFrameCodec.MAXIMUM_REPLY_PART_BYTES);
            send(new RelayMessage.Replies(replies.channel(), false, part, Optional.empty()));
        }
        send(new RelayMessage.Replies(replies.channel(), replies.last(), rest.slice(), replies.load()));
    }

    /**
     * Ends the stream.
     *
     * @param reason cause, for the log
     */
    public void close(String reason) {
        if (connection[0] != null) {
            connection[0].close(reason);
        }
    }

    /**
     * Returns whether the stream has ended.
     *
     * @return true after either side ended it
     */
    public boolean isEnded() {
        return ended;
    }

    /**
     * Returns the time of the last input, or of the creation.
     *
     * @return time by the monotonic clock
     */
    public Instant lastReceivedAt() {
        return lastReceivedAt;
    }

    /**
     * Returns the time of the last ping since the last input.
     *
     * @return time by the monotonic clock, {@link Instant#MIN} if there was none
     */
    public Instant pingedAt() {
        return pingedAt;
    }

    /**
     * Returns whether a ping has no response yet.
     *
     * @return false after any input
     */
    public boolean isPinged() {
        return !pingedAt.equals(Instant.MIN);
    }

    /** Asks the other VM to respond. */
    public void ping() {
        pingedAt = clock.get();
        send(new RelayMessage.Ping());
    }

    @Override
    public void onConnected() {
        connected = true;
        unsent.forEach(connection[0]::send);
        unsent.clear();
        unsentBytes = 0;
    }

    @Override
    public void onReceived(ByteBuffer bytes) {
        lastReceivedAt = clock.get();
        pingedAt = Instant.MIN;
        try {
            for (RelayMessage message : decoder.decode(bytes)) {
                if (!ended) {
                    listener.onMessage(this, message);
                }
            }
        } catch (IllegalArgumentException e) {
            close("malformed frame: " + e.getMessage());
        }
    }

    @Override
    public void onClosed(String reason) {
        ended = true;
        unsent.clear();
        listener.onEnded(this, reason);
    }
}
