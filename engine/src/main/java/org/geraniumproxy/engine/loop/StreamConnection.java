package org.geraniumproxy.engine.loop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** A connection of an {@link EventLoop}. All methods are called on the thread of the loop. */
public final class StreamConnection {
    /** Output beyond which nothing more is read, so that a peer that does not read cannot fill the memory. */
    private static final int MOST_WAITING_BYTES = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final StreamHandler handler;
    private final Deque<ByteBuffer> output = new ArrayDeque<>();
    private SelectionKey key;
    private int waitingBytes;
    private boolean closed;
    private boolean closeAfterOutput;
    private boolean flushPlanned;

    StreamConnection(EventLoop loop, SocketChannel channel, StreamHandler handler) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
    }

    /**
     * Sends bytes in order. What is sent during one turn of the loop leaves in one call of the system.
     *
     * @param bytes the bytes
     */
    public void send(byte[] bytes) {
        if (closed || bytes.length == 0) {
            return;
        }
        output.add(ByteBuffer.wrap(bytes));
        waitingBytes += bytes.length;
        planFlush();
    }

    /** Closes the connection after what was sent has left. */
    public void closeAfterOutput() {
        closeAfterOutput = true;
        planFlush();
    }

    /**
     * Closes the connection at once and tells the handler.
     *
     * @param reason why
     */
    public void close(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        if (key != null) {
            key.cancel();
        }
        try {
            channel.close();
        } catch (IOException e) {
            loop.report("closing a connection failed", e);
        }
        handler.closed(reason);
    }

    /**
     * Tells whether the connection has ended.
     *
     * @return true after it was closed by either side
     */
    public boolean isClosed() {
        return closed;
    }

    void register(SelectionKey registered) {
        key = registered;
    }

    void connectable() {
        try {
            channel.finishConnect();
            key.interestOps(SelectionKey.OP_READ);
            handler.connected();
        } catch (IOException e) {
            close("not connected: " + e.getMessage());
        }
    }

    void readable(ByteBuffer buffer) {
        try {
            buffer.clear();
            int count = channel.read(buffer);
            if (count < 0) {
                close("closed by the peer");
            } else if (count > 0) {
                buffer.flip();
                handler.received(buffer);
            }
        } catch (IOException e) {
            close("read failed: " + e.getMessage());
        }
    }

    void flush() {
        flushPlanned = false;
        if (closed || key == null || !channel.isConnected()) {
            return;
        }
        try {
            writeOutput();
        } catch (IOException e) {
            close("write failed: " + e.getMessage());
            return;
        }
        if (output.isEmpty() && closeAfterOutput) {
            close("closed after the last answer");
        } else {
            updateInterest();
        }
    }

    private void writeOutput() throws IOException {
        ByteBuffer[] buffers = output.toArray(ByteBuffer[]::new);
        long written = channel.write(buffers);
        waitingBytes -= (int) written;
        while (!output.isEmpty() && !output.peek().hasRemaining()) {
            output.remove();
        }
    }

    private void updateInterest() {
        int interest = waitingBytes < MOST_WAITING_BYTES ? SelectionKey.OP_READ : 0;
        if (!output.isEmpty()) {
            interest |= SelectionKey.OP_WRITE;
        }
        if (key.isValid() && key.interestOps() != interest) {
            key.interestOps(interest);
        }
    }

    private void planFlush() {
        if (!flushPlanned) {
            flushPlanned = true;
            loop.flushLater(this);
        }
    }
}
