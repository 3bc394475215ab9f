package org.geraniumproxy.measure.promotion;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.geraniumproxy.measure.process.LineSocket;
import org.geraniumproxy.measure.process.NodeProcess;

/** Clients that write through the nodes all the time, one virtual thread each. They reconnect after an error. */
final class WriteLoad implements AutoCloseable {
    static final String HOST = "entries";
    static final String KEY = "k7soak";

    private static final int CLIENTS_PER_NODE = 3;
    private static final Duration RETRY_PAUSE = Duration.ofMillis(20);
    /** Pause between two writes of a client, which leaves processor time to the nodes. */
    private static final Duration PAUSE = Duration.ofMillis(5);

    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(3);

    private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    private final AtomicLong lastId = new AtomicLong();
    private final Map<String, Long> outcomes = new TreeMap<>();
    private final Consumer<String> acknowledged;
    private volatile boolean stopped;

    /**
     * Starts the clients.
     *
     * @param acknowledged called with the signature of each write that a client was told is complete
     */
    WriteLoad(long seed, List<NodeProcess> nodes, Consumer<String> acknowledged) {
        this.acknowledged = acknowledged;
        for (int i = 0; i < nodes.size() * CLIENTS_PER_NODE; i++) {
            NodeProcess node = nodes.get(i % nodes.size());
            RandomGenerator random = new SplittableRandom(seed * 1_000 + i);
            executor.execute(() -> repeat(node, random));
        }
    }

    /** Returns the number of requests by outcome: the word COMPLETE or the code of the error. */
    synchronized Map<String, Long> outcomes() {
        return new TreeMap<>(outcomes);
    }

    private void repeat(NodeProcess node, RandomGenerator random) {
        try {
            while (!stopped) {
                try {
                    write(node, random);
                } catch (IOException e) {
                    count("CLOSED");
                }
                Thread.sleep(RETRY_PAUSE);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes in one session until a request fails. */
    private void write(NodeProcess node, RandomGenerator random) throws IOException, InterruptedException {
        try (LineSocket lines = LineSocket.connect(node.callerPort(), Duration.ZERO)) {
            lines.setTimeout(ANSWER_TIMEOUT);
            lines.write("CONNECT " + HOST + " " + KEY + "\r\n");
            if (!lines.readLine().orElse("").startsWith("READY")) {
                count("REFUSED");
                return;
            }
            String result = "COMPLETE";
            while (!stopped && result.equals("COMPLETE")) {
                lines.write("QUERY w" + lastId.incrementAndGet() + " PUT w" + random.nextInt(4) + "x"
                        + random.nextInt(1000) + " data\r\n");
                String[] words = lines.readLine().orElse("CLOSED").split(" ", 3);
                lines.readLine();
                result = words[0].equals("ERROR") ? words[1] : words[0];
                if (result.equals("COMPLETE")) {
                    acknowledged.accept(words[1]);
                }
                count(result);
                Thread.sleep(PAUSE);
            }
        }
    }

    private synchronized void count(String outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    @Override
    public void close() {
        stopped = true;
        executor.close();
    }
}
