package org.geraniumproxy.engine.traffic;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Database that answers each line of {@link TextProtocol} with the response that the test defines. An empty response
 * leaves the line without a reply.
 */
final class ScriptedDatabase implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<String> receivedLines = new CopyOnWriteArrayList<>();
    private final Supplier<Function<String, Optional<String>>> responses;

    ScriptedDatabase(Function<String, Optional<String>> responses) throws IOException {
        this(() -> responses);
    }

    /** Creates a database whose responses depend on what it received before on the same connection. */
    ScriptedDatabase(Supplier<Function<String, Optional<String>>> responses) throws IOException {
        this.responses = responses;
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    List<String> receivedLines() {
        return receivedLines;
    }

    /** Waits until the database has received a line. */
    ScriptedDatabase awaitLine(String line) throws InterruptedException {
        Instant end = Instant.now().plus(EngineFixture.REPLY_TIMEOUT);
        while (!receivedLines.contains(line)) {
            if (Instant.now().isAfter(end)) {
                throw new AssertionError("the database has not received " + line + ", only " + receivedLines);
            }
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return this;
    }

    /** Closes all open connections, as a crash of the database would. */
    void dropConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
        dropConnections();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                // Without it, the second of two replies to a batch waits 40 ms for the acknowledgement of the first.
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                Thread.ofVirtual().start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        Function<String, Optional<String>> responsesOfConnection = responses.get();
        try (BufferedReader input =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))) {
            String line = input.readLine();
            while (line != null) {
                receivedLines.add(line);
                Optional<String> response = responsesOfConnection.apply(line);
                if (response.isPresent()) {
                    socket.getOutputStream().write((response.get() + "\n").getBytes(StandardCharsets.UTF_8));
                }
                line = input.readLine();
            }
        } catch (IOException e) {
            receivedLines.add("connection ended");
        }
    }
}
