package org.geraniumproxy.engine.loop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;

/** Non-blocking TCP connection of an {@link EventLoop}. All methods must be called on the thread of the loop. */
public final class StreamConnection {
    /** Most output that is passed to the operating system before other connections have their turn. */
    private static final int MAXIMUM_BYTES_PER_FLUSH = 1024 * 1024;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final StreamHandler handler;
    private final int maximumPendingBytes;
    private final Deque<ByteBuffer> pendingOutput = new ArrayDeque<>();
    private SelectionKey key;
    private int pendingBytes;
    private boolean closed;
    private boolean closeAfterFlush;
    private boolean flushScheduled;
    private boolean readingPaused;

    /**
     * Creates a connection.
     *
     * @param maximumPendingBytes backpressure limit: nothing is read while more output than this is pending
     */
    StreamConnection(EventLoop loop, SocketChannel channel, StreamHandler handler, int maximumPendingBytes) {
        this.loop = loop;
        this.channel = channel;
        this.handler = handler;
        this.maximumPendingBytes = maximumPendingBytes;
    }

    /** Returns a connection whose channel could not be opened. It can only be closed. */
    static StreamConnection unopened(EventLoop loop, StreamHandler handler) {
        return new StreamConnection(loop, null, handler, 0);
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
        // Timers may refer to the connection for seconds after its end.
        pendingOutput.clear();
        pendingBytes = 0;
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

    /**
     * Stops reading, or reads again. Input stays in the buffers of the operating system meanwhile, and the end of the
     * connection is not noticed by a read.
     *
     * @param paused whether reading stops
     */
    public void pauseReading(boolean paused) {
        if (paused != readingPaused) {
            readingPaused = paused;
            if (!closed && key != null && channel.isConnected()) {
                updateInterestOps();
            }
        }
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
            updateInterestOps();
            handler.onConnected();
        } catch (IOException e) {
            close("connect failed: " + e.getMessage());
        }
    }

    void read(ByteBuffer buffer) {
        if (closeAfterFlush || readingPaused || closed) {
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
        boolean written;
        try {
            written = writePending() > 0;
        } catch (IOException e) {
            close("write failed: " + e.getMessage());
            return;
        }
        if (pendingOutput.isEmpty() && closeAfterFlush) {
            close("closed after the last reply");
            return;
        }
        updateInterestOps();
        if (written) {
            handler.onWritten();
        }
    }

    /**
     * Writes pending output through the direct buffer of the loop. The channel would otherwise copy each array to a
     * direct buffer of the same size, which the JDK keeps for the thread outside the heap.
     */
    private int writePending() throws IOException {
        ByteBuffer buffer = loop.writeBuffer();
        int total = 0;
        int written = 0;
        do {
            copyPendingTo(buffer);
            written = buffer.hasRemaining() ? channel.write(buffer) : 0;
            removeWritten(written);
            total += written;
        } while (written > 0 && !buffer.hasRemaining() && total < MAXIMUM_BYTES_PER_FLUSH);
        return total;
    }

    private void copyPendingTo(ByteBuffer buffer) {
        buffer.clear();
        for (ByteBuffer output : pendingOutput) {
            if (!buffer.hasRemaining()) {
                break;
            }
            int count = Math.min(buffer.remaining(), output.remaining());
            buffer.put(buffer.position(), output, output.position(), count);
            buffer.position(buffer.position() + count);
        }
        buffer.flip();
    }

    private void removeWritten(int written) {
        pendingBytes -= written;
        int remaining = written;
        while (remaining > 0) {
            ByteBuffer output = pendingOutput.peek();
            int count = Math.min(remaining, output.remaining());
            output.position(output.position() + count);
            remaining -= count;
            if (!output.hasRemaining()) {
                pendingOutput.remove();
            }
        }
    }

    private void updateInterestOps() {
        boolean reads = pendingBytes < maximumPendingBytes && !closeAfterFlush && !readingPaused;
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
