package org.geraniumproxy.measure.stop;

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
final class LineSocket implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final int BUFFER_BYTES = 4096;

    private final Socket socket;
    private final InputStream input;
    private final Duration pausePerRead;
    private final byte[] buffer = new byte[BUFFER_BYTES];
    private int position;
    private int limit;

    LineSocket(Socket socket, Duration pausePerRead) throws IOException {
        this.socket = socket;
        this.pausePerRead = pausePerRead;
        socket.setTcpNoDelay(true);
        this.input = socket.getInputStream();
    }

    /**
     * Connects to a port of this machine.
     *
     * @param pausePerRead pause before each read of 4 KiB; above zero for a client that reads slowly
     * @throws IOException if the connection is refused or not established within 2 s
     */
    static LineSocket connect(int port, Duration pausePerRead) throws IOException {
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

    void setTimeout(Duration timeout) throws IOException {
        socket.setSoTimeout((int) timeout.toMillis());
    }

    void write(String lines) throws IOException {
        socket.getOutputStream().write(lines.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the next line without its terminator, or nothing if the stream ended before a terminator.
     *
     * @throws IOException if the connection was reset or the timeout passed
     * @throws InterruptedException if the thread was interrupted during a pause
     */
    Optional<String> readLine() throws IOException, InterruptedException {
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
