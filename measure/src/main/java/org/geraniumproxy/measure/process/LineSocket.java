package org.geraniumproxy.measure.process;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

/** Connection that exchanges lines terminated by CR LF. Used by one thread. */
public final class LineSocket implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int BUFFER_BYTES = 4096;

    private final Socket socket;
    private final InputStream input;
    private final Duration pausePerRead;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int position;
    private int limit;

    /**
     * Wraps a connection.
     *
     * @param socket connected socket
     * @param pausePerRead pause before each read of 4 KiB
     * @throws IOException if the socket is closed
     */
    public LineSocket(Socket socket, Duration pausePerRead) throws IOException {
        this.socket = socket;
        this.pausePerRead = pausePerRead;
        socket.setTcpNoDelay(true);
        this.input = socket.getInputStream();
    }

    /**
     * Connects to a port of this machine.
     *
     * @param port port on the loopback address
     * @param pausePerRead pause before each read of 4 KiB; above zero for a client that reads slowly
     * @return the connection
     * @throws IOException if the connection is refused or not established within 2 s
     */
    public static LineSocket connect(int port, Duration pausePerRead) throws IOException {
        Socket socket = new Socket();
        try {
            if (pausePerRead.isPositive()) {
                socket.setReceiveBufferSize(BUFFER_BYTES);
            }
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            socket.connect(address, (int) CONNECT_TIMEOUT.toMillis());
            return new LineSocket(socket, pausePerRead);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /**
     * Sets how long a read may wait.
     *
     * @param timeout longest wait for bytes, zero for no limit
     * @throws IOException if the socket is closed
     */
    public void setTimeout(Duration timeout) throws IOException {
        socket.setSoTimeout((int) timeout.toMillis());
    }

    /**
     * Writes lines.
     *
     * @param lines text with the terminators of its lines
     * @throws IOException if the connection has ended
     */
    public void write(String lines) throws IOException {
        socket.getOutputStream().write(lines.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the next line without its terminator, or nothing if the stream ended before a terminator.
     *
     * @return the line
     * @throws IOException if the connection was reset or the timeout passed
     * @throws InterruptedException if the thread was interrupted during a pause
     */
    public Optional<String> readLine() throws IOException, InterruptedException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            if (position == limit && !fill()) {
                return Optional.empty();
            }
            byte next = buffer[position++];
            if (next == '\n') {
                String text = line.toString(StandardCharsets.UTF_8);
                return Optional.of(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
            }
            line.write(next);
        }
    }

    private boolean fill() throws IOException, InterruptedException {
        if (pausePerRead.isPositive()) {
            Thread.sleep(pausePerRead);
        }
        position = 0;
        limit = Math.max(0, input.read(buffer));
        return limit > 0;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
