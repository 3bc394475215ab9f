package org.geraniumproxy.engine.loop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** Non-blocking TCP connection of an {@link EventLoop}. All methods must be called on the thread of the loop. */
public final class StreamConnection {
    /**
     * Backpressure limit: reading stops while more output than this is pending, so that a peer that does not read
     * cannot exhaust the memory.
     */
    private static final int MAXIMUM_PENDING_BYTES = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final StreamHandler handler;
    private final Deque<ByteBuffer> pendingOutput = new ArrayDeque<>();
    private SelectionKey key;
    private int pendingBytes;
    private boolean closed;
    private boolean closeAfterFlush;
    private boolean flushScheduled;

    StreamConnection(EventLoop loop, SocketChannel channel, StreamHandler handler) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
    }

    /** Returns a connection whose channel could not be opened. It can only be closed. */
    static StreamConnection unopened(EventLoop loop, StreamHandler handler) {
        return new StreamConnection(loop, null, handler);
    }

    /**
     * Queues bytes for sending. Everything queued during one iteration of the loop is written with a single system
     * call. Does nothing if the connection is closed.
     *
     * @param bytes bytes to send; must not be modified afterwards
     */
    public void send(byte[] bytes) {
        if (closed || bytes.length == 0) {
            return;
        }
        pendingOutput.add(ByteBuffer.wrap(bytes));
        pendingBytes += bytes.length;
        scheduleFlush();
    }

    /**
     * Closes the connection after all pending output has been written. From now on no input is received, because it
     * could not be answered.
     */
    public void closeAfterFlush() {
        closeAfterFlush = true;
        scheduleFlush();
    }

    /**
     * Closes the connection immediately, discards pending output and notifies the handler. Does nothing if the
     * connection is already closed.
     *
     * @param reason cause that is passed to the handler
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
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            loop.logFailure("closing a connection failed", e);
        }
        handler.onClosed(reason);
    }

    /**
     * Returns whether the connection is closed.
     *
     * @return true after it was closed by either side
     */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Returns the output that the operating system has not accepted yet.
     *
     * @return number of bytes
     */
    public int pendingBytes() {
        return pendingBytes;
    }

    /** Receives the input that has arrived, as if the loop had found the connection readable. */
    public void receiveAvailable() {
        if (!closed && key != null && channel.isConnected()) {
            loop.receive(this);
        }
    }

    void attachKey(SelectionKey selectionKey) {
        key = selectionKey;
    }

    void finishConnect() {
        try {
            channel.finishConnect();
            key.interestOps(SelectionKey.OP_READ);
            handler.onConnected();
        } catch (IOException e) {
            close("connect failed: " + e.getMessage());
        }
    }

    void read(ByteBuffer buffer) {
        if (closeAfterFlush) {
            return;
        }
        try {
            buffer.clear();
            int count = channel.read(buffer);
            if (count < 0) {
                close("closed by the peer");
            } else if (count > 0) {
                buffer.flip();
                handler.onReceived(buffer);
            }
        } catch (IOException e) {
            close("read failed: " + e.getMessage());
        }
    }

    void flush() {
        flushScheduled = false;
        if (closed || key == null || !channel.isConnected()) {
            return;
        }
        try {
            writePending();
        } catch (IOException e) {
            close("write failed: " + e.getMessage());
            return;
        }
        if (pendingOutput.isEmpty() && closeAfterFlush) {
            close("closed after the last reply");
        } else {
            updateInterestOps();
        }
    }

    private void writePending() throws IOException {
        ByteBuffer[] buffers = pendingOutput.toArray(ByteBuffer[]::new);
        long written = channel.write(buffers);
        pendingBytes -= (int) written;
        while (!pendingOutput.isEmpty() && !pendingOutput.peek().hasRemaining()) {
            pendingOutput.remove();
        }
    }

    private void updateInterestOps() {
        boolean reads = pendingBytes < MAXIMUM_PENDING_BYTES && !closeAfterFlush;
        int interestOps = reads ? SelectionKey.OP_READ : 0;
        if (!pendingOutput.isEmpty()) {
            interestOps |= SelectionKey.OP_WRITE;
        }
        if (key.isValid() && key.interestOps() != interestOps) {
            key.interestOps(interestOps);
        }
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            loop.scheduleFlush(this);
        }
    }
}
