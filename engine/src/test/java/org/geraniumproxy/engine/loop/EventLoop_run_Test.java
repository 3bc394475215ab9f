package org.geraniumproxy.engine.loop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.geraniumproxy.engine.telemetry.DecisionLog;
import org.junit.jupiter.api.Test;

/** Guards against one unexpected error that ends the thread which serves all callers. */
class EventLoop_run_Test {
    private static final long TIMEOUT_SECONDS = 5;
    private static final int SMALL_BUFFER_BYTES = 64 * 1024;
    private static final int CHUNK_BYTES = 512 * 1024;

    private final EventLoop loop = startLoop();

    @Test
    void should_continue_after_a_handler_failed_when_its_connection_was_closed_by_a_flush() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        int port = freePort();
        loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                stream -> new FailingHandler(stream, closed));
        startAfterListening();
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), port)) {
            caller.setTcpNoDelay(true);
            closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
        CompletableFuture<Void> nextTask = new CompletableFuture<>();
        loop.execute(() -> nextTask.complete(null));
        nextTask.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against an address that the socket rejects with an exception that is not an I/O failure. */
    @Test
    void should_report_a_connection_that_cannot_be_opened_as_closed() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        startAfterListening();
        loop.execute(
                () -> loop.connect(InetSocketAddress.createUnresolved("unresolved", 1), new ClosingHandler(closed)));
        closed.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /** Guards against resetting connections that the operating system has accepted but the loop has not. */
    @Test
    void should_accept_the_waiting_connections_before_the_listener_is_closed() throws Exception {
        CompletableFuture<Void> accepted = new CompletableFuture<>();
        int port = freePort();
        Runnable closeListener = loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port), _ -> new AcceptedHandler(accepted));
        try (Socket waiting = new Socket(InetAddress.getLoopbackAddress(), port)) {
            loop.execute(closeListener);
            startAfterListening();
            accepted.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertThat(waiting.isConnected(), is(true));
        }
    }

    /** Guards against accepting a message whose answer would be cut off by the close that was already decided. */
    @Test
    void should_not_receive_after_the_close_was_requested_while_output_is_pending() throws Exception {
        CompletableFuture<Void> received = new CompletableFuture<>();
        int port = freePort();
        loop.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
                stream -> new ReplyingHandler(stream, received));
        startAfterListening();
        try (Socket caller = new Socket()) {
            caller.setReceiveBufferSize(SMALL_BUFFER_BYTES);
            caller.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
            for (int count = 0; count < ReplyingHandler.REPLY_BYTES / 4; count += CHUNK_BYTES) {
                caller.getOutputStream().write(1);
                caller.getInputStream().readNBytes(CHUNK_BYTES);
            }
            assertThrows(TimeoutException.class, () -> received.get(200, TimeUnit.MILLISECONDS));
        }
    }

    private void startAfterListening() {
        loop.start("loop");
    }

    private static EventLoop startLoop() {
        try {
            return new EventLoop(Clock.systemUTC(), new DecisionLog(new PrintStream(PrintStream.nullOutputStream())));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Closes its connection after the last reply and fails when it is told so. */
    private static final class FailingHandler implements StreamHandler {
        private final StreamConnection[] stream;
        private final CompletableFuture<Void> closed;

        FailingHandler(StreamConnection[] stream, CompletableFuture<Void> closed) {
            this.stream = stream;
            this.closed = closed;
        }

        @Override
        public void onConnected() {
            stream[0].closeAfterFlush();
        }

        @Override
        public void onReceived(ByteBuffer bytes) {}

        @Override
        public void onClosed(String reason) {
            closed.complete(null);
            throw new IllegalStateException("failure of a handler");
        }
    }

    private record AcceptedHandler(CompletableFuture<Void> accepted) implements StreamHandler {
        @Override
        public void onConnected() {
            accepted.complete(null);
        }

        @Override
        public void onReceived(ByteBuffer bytes) {}

        @Override
        public void onClosed(String reason) {}
    }

    /** Sends more than the operating system buffers and requests the close of the connection. */
    private static final class ReplyingHandler implements StreamHandler {
        static final int REPLY_BYTES = 8 * 1024 * 1024;

        private final StreamConnection[] stream;
        private final CompletableFuture<Void> received;

        ReplyingHandler(StreamConnection[] stream, CompletableFuture<Void> received) {
            this.stream = stream;
            this.received = received;
        }

        @Override
        public void onConnected() {
            stream[0].send(new byte[REPLY_BYTES]);
            stream[0].closeAfterFlush();
        }

        @Override
        public void onReceived(ByteBuffer bytes) {
            received.complete(null);
        }

        @Override
        public void onClosed(String reason) {}
    }

    private record ClosingHandler(CompletableFuture<Void> closed) implements StreamHandler {
        @Override
        public void onConnected() {}

        @Override
        public void onReceived(ByteBuffer bytes) {}

        @Override
        public void onClosed(String reason) {
            closed.complete(null);
        }
    }
}
