package org.geraniumproxy.engine.traffic;

import java.nio.ByteBuffer;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.core.caller.BackendCommand;
import org.geraniumproxy.core.caller.BackendReply;
import org.geraniumproxy.core.caller.ConnectionMemory;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.engine.loop.StreamConnection;
import org.geraniumproxy.engine.loop.StreamHandler;

/** A connection to a database on the traffic thread. It carries one batch of commands at a time. */
final class BackendConnection implements StreamHandler {
    /** Receives what happens to the connection. */
    interface Owner {
        void opened(BackendConnection connection);

        void openingRefused(BackendConnection connection, BackendReply reply);

        void replied(BackendConnection connection, List<BackendReply> replies);

        void lost(BackendConnection connection, String reason);
    }

    private final long number;
    private final CustomerName customer;
    private final Owner owner;
    private final BackendProtocol protocol;
    private final BackendProtocol.Decoder decoder;
    private final byte[] opening;
    private final List<BackendReply> replies = new ArrayList<>();
    private StreamConnection stream;
    private ConnectionMemory memory = ConnectionMemory.EMPTY;
    private Instant lastReplyAt = Instant.MIN;
    private int expected;
    private boolean open;
    private boolean ended;

    BackendConnection(long number, CustomerName customer, Owner owner, BackendProtocol protocol, byte[] opening) {
        this.number = number;
        this.customer = customer;
        this.owner = owner;
        this.protocol = protocol;
        this.decoder = protocol.decoder();
        this.opening = opening;
    }

    long number() {
        return number;
    }

    CustomerName customer() {
        return customer;
    }

    boolean isOpen() {
        return open && !ended;
    }

    ConnectionMemory memory() {
        return memory;
    }

    void remember(ConnectionMemory next) {
        memory = next;
    }

    Instant lastReplyAt() {
        return lastReplyAt;
    }

    void heardAt(Instant now) {
        lastReplyAt = now;
    }

    void attach(StreamConnection connection) {
        stream = connection;
    }

    void send(List<BackendCommand> commands) {
        expected = commands.size();
        replies.clear();
        for (BackendCommand command : commands) {
            stream.send(protocol.encode(command));
        }
    }

    /** Closes the connection without telling the owner. */
    void discard(String reason) {
        ended = true;
        stream.close(reason);
    }

    @Override
    public void connected() {
        stream.send(opening);
    }

    @Override
    public void received(ByteBuffer bytes) {
        List<BackendReply> decoded;
        try {
            decoded = decoder.decode(bytes);
        } catch (IllegalArgumentException e) {
            stream.close("not a reply: " + e.getMessage());
            return;
        }
        for (BackendReply reply : decoded) {
            if (!ended) {
                receive(reply);
            }
        }
    }

    @Override
    public void closed(String reason) {
        if (!ended) {
            ended = true;
            owner.lost(this, reason);
        }
    }

    private void receive(BackendReply reply) {
        if (!open) {
            if (reply.isCompleted()) {
                open = true;
                owner.opened(this);
            } else {
                ended = true;
                owner.openingRefused(this, reply);
                stream.close("refused");
            }
            return;
        }
        if (expected == 0) {
            stream.close("a reply that nothing asked for");
            return;
        }
        replies.add(reply);
        if (replies.size() == expected) {
            expected = 0;
            owner.replied(this, List.copyOf(replies));
        }
    }
}
