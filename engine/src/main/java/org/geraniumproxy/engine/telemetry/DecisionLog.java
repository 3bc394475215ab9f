package org.geraniumproxy.engine.telemetry;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Lock;
import java.util.concurrent.locks.ReentrantLock;
import java.util.regex.Pattern;

/**
 * Log with one line for each decision. Logging never blocks the calling thread: if the queue is full, the line is
 * dropped, and the number of dropped lines is logged with the next batch.
 *
 * <pre>{@code
 * log.write("session", request, "refused", "code=BUSY age=12ms");
 * }</pre>
 */
public final class DecisionLog {
    /** Capacity of the queue; 0.8 MB with lines of 200 bytes, 6 MB with the longest ones. */
    private static final int MAXIMUM_QUEUED_LINES = 4096;

    /** Longest line in characters; the longest regular ones list the databases of a group. */
    private static final int MAXIMUM_LINE_LENGTH = 1500;

    private static final Pattern CONTROL_CHARACTERS = Pattern.compile("\\p{Cntrl}");

    private final Queue<String> queuedLines = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
    private final AtomicLong droppedLines = new AtomicLong();

    /** Wakes the writer thread, which must not take a line before it has {@link #batchLock}. */
    private final Semaphore unseenLines = new Semaphore(0);

    /** Held while lines are taken from the queue and written. Callers that log never acquire it. */
    private final Lock batchLock = new ReentrantLock();

    private final PrintStream output;

    /**
     * Creates a log whose writer thread is not started.
     *
     * @param output receives the lines
     */
    public DecisionLog(PrintStream output) {
        this.output = output;
    }

    /** Starts the writer thread. */
    public void start() {
        Thread.ofPlatform().daemon().name("decision-log").start(this::writeLines);
    }

    /**
     * Logs a decision about a request.
     *
     * @param component component that decided, which becomes the prefix of the line
     * @param request identifier of the request, or "-"
     * @param decision what was decided
     * @param detail inputs of the decision as {@code key=value} pairs, with their age or version
     */
    public void write(String component, String request, String decision, String detail) {
        String line = component + ": request=" + request + " decision=\"" + decision + "\" " + detail;
        if (queuedLines.offer(toSingleLine(line))) {
            unseenLines.release();
        } else {
            droppedLines.incrementAndGet();
        }
    }

    /** Shortens a line and replaces its control characters. Parts of it may come from another writer of the store. */
    private static String toSingleLine(String line) {
        String bounded = line.length() <= MAXIMUM_LINE_LENGTH
                ? line
                : line.substring(0, MAXIMUM_LINE_LENGTH) + "... (" + line.length() + " characters)";
        return bounded.chars().noneMatch(Character::isISOControl)
                ? bounded
                : CONTROL_CHARACTERS.matcher(bounded).replaceAll("?");
    }

    /**
     * Logs a decision that is not related to a request.
     *
     * @param component component that decided, which becomes the prefix of the line
     * @param decision what was decided or learned
     * @param detail inputs of the decision as {@code key=value} pairs, with their age or version
     */
    public void write(String component, String decision, String detail) {
        write(component, "-", decision, detail);
    }

    /**
     * Writes the queued lines and the number of dropped ones on the calling thread. Lines that the writer thread has
     * taken are written when this method returns, so the process may end directly afterwards. Waits as long as the
     * output blocks.
     */
    public void flush() {
        writeBatch();
    }

    private void writeLines() {
        try {
            while (true) {
                unseenLines.acquire();
                unseenLines.drainPermits();
                writeBatch();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeBatch() {
        batchLock.lock();
        try {
            StringBuilder batch = new StringBuilder();
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
        } finally {
            batchLock.unlock();
        }
    }
}
