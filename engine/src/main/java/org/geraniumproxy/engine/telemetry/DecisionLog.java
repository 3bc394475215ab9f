package org.geraniumproxy.engine.telemetry;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes one line for each decision. The threads that decide never wait for the output: a line that finds the queue
 * full is dropped and counted, and the count is written with the next line.
 *
 * <pre>{@code
 * log.write("session", request, "refused", "code=BUSY age=12ms");
 * }</pre>
 */
public final class DecisionLog {
    /** Lines that may wait; at 200 bytes a line this is 0.8 MB. */
    private static final int MAXIMUM_QUEUED_LINES = 4096;

    private final BlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();
    private final PrintStream output;

    /**
     * Creates a log.
     *
     * @param output where the lines go
     */
    public DecisionLog(PrintStream output) {
        this.output = output;
    }

    /** Starts the thread that writes the lines. */
    public void start() {
        Thread.ofPlatform().daemon().name("decision-log").start(this::writeLines);
    }

    /**
     * Writes a line about a request.
     *
     * @param component the part of the program that decided
     * @param request identifier of the request, or "-"
     * @param decision what was decided
     * @param detail inputs of the decision, with their age or version
     */
    public void write(String component, String request, String decision, String detail) {
        String line = component + ": request=" + request + " decision=\"" + decision + "\" " + detail;
        if (!queuedLines.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    /**
     * Writes a line that is about no request.
     *
     * @param component the part of the program that decided
     * @param decision what was decided or learned
     * @param detail inputs of the decision, with their age or version
     */
    public void write(String component, String decision, String detail) {
        write(component, "-", decision, detail);
    }

    /** Writes the lines that wait; called when the process stops. */
    public void flush() {
        String line = queuedLines.poll();
        while (line != null) {
            output.println(line);
            line = queuedLines.poll();
        }
        output.flush();
    }

    private void writeLines() {
        try {
            while (true) {
                StringBuilder batch = new StringBuilder();
                batch.append(queuedLines.take()).append('\n');
                String next = queuedLines.poll();
                while (next != null) {
                    batch.append(next).append('\n');
                    next = queuedLines.poll();
                }
                long droppedCount = droppedLines.getAndSet(0);
                if (droppedCount > 0) {
                    batch.append("log: request=- decision=\"lines dropped\" count=")
                            .append(droppedCount)
                            .append('\n');
                }
                byte[] bytes = batch.toString().getBytes(StandardCharsets.UTF_8);
                output.write(bytes, 0, bytes.length);
                output.flush();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
