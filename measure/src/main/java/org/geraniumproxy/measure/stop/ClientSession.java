package org.geraniumproxy.measure.stop;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.measure.process.LineSocket;
import org.geraniumproxy.measure.process.NodeProcess;
import org.geraniumproxy.measure.stop.ClientRequest.Part;

/** Session of a client with a node: one request at a time. Used by one thread. */
final class ClientSession implements AutoCloseable {
    static final String KEY = "k7soak";

    /** Time after which a client gives up waiting for READY after CONNECT. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

    private final RunJournal journal;
    private final Clock clock;
    private final String node;
    private final Duration timeout;
    private final LineSocket lines;
    private String state = "I";

    /**
     * Connects to a node.
     *
     * @param kind behaviour of the client
     * @throws IOException if the node refuses the session or doesn't answer within 2 s
     */
    ClientSession(RunJournal journal, Clock clock, NodeProcess node, ClientKind kind)
            throws IOException, InterruptedException {
        this.journal = journal;
        this.clock = clock;
        this.node = node.name();
        this.timeout = kind.work().timeout();
        Duration pausePerRead = kind instanceof ClientKind.SlowReader ? Duration.ofMillis(8) : Duration.ZERO;
        this.lines = LineSocket.connect(node.callerPort(), pausePerRead);
        try {
            lines.setTimeout(CONNECT_TIMEOUT);
            lines.write("CONNECT " + kind.work().host() + " " + KEY + "\r\n");
            String answer = lines.readLine().orElse("closed");
            if (!answer.startsWith("READY")) {
                throw new IOException(answer);
            }
            lines.setTimeout(ANSWER_TIMEOUT);
        } catch (IOException e) {
            lines.close();
            throw e;
        }
    }

    /** Returns whether the session is open, outside a transaction and free for the next operation. */
    boolean isIdle() {
        return state.equals("I");
    }

    /** Sends a request, waits for its outcome and records both. Returns whether it succeeded. */
    boolean request(String id, String attempt, Part part, String text) throws InterruptedException {
        try {
            lines.write("QUERY " + id + " " + text + "\r\n");
        } catch (IOException e) {
            state = "-";
            return false; // the request wasn't sent completely
        }
        Instant sent = clock.instant();
        Outcome outcome = await();
        journal.add(new ClientRequest(id, attempt, node, part, timeout, sent, clock.instant(), outcome));
        return switch (outcome) {
            case Outcome.Answered answered -> {
                state = answered.state();
                yield answered.isSuccess();
            }
            case Outcome.Cut _, Outcome.Silent _ -> {
                state = "-";
                yield false;
            }
        };
    }

    private Outcome await() throws InterruptedException {
        String result = "";
        try {
            for (Optional<String> line = lines.readLine(); line.isPresent(); line = lines.readLine()) {
                String text = line.get();
                if (text.startsWith("READY ")) {
                    return new Outcome.Answered(result, text.split(" ", -1)[1]);
                }
                result = text.startsWith("ROW ") ? result : text;
            }
            return new Outcome.Cut("closed after \"" + result + "\"");
        } catch (SocketTimeoutException e) {
            return new Outcome.Silent();
        } catch (IOException e) {
            return new Outcome.Cut(e.getMessage() + " after \"" + result + "\"");
        }
    }

    @Override
    public void close() throws IOException {
        lines.close();
    }
}
