package org.geraniumproxy.engine.telemetry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against lines that are lost when the process ends directly after the flush. */
class DecisionLog_flush_Test {
    private static final long TIMEOUT_SECONDS = 10;

    /** Time in which a flush that doesn't wait for the writer thread completes. */
    private static final long FLUSH_MILLISECONDS = 300;

    private static final int QUEUE_CAPACITY = 4096;

    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    /** The queue is empty while the writer thread holds the lines that it has taken from it. */
    @Test
    void should_wait_for_lines_that_the_writer_thread_has_taken() throws Exception {
        try (PausedOutput output = new PausedOutput(written)) {
            DecisionLog log = new DecisionLog(output);
            log.start();
            log.write("node", "stopped", "sessions=0");
            output.awaitWrite();
            CompletableFuture<List<String>> afterFlush = linesAfterFlush(log);
            TimeUnit.MILLISECONDS.sleep(FLUSH_MILLISECONDS);
            output.resume();
            assertThat(
                    afterFlush.get(TIMEOUT_SECONDS, TimeUnit.SECONDS),
                    contains(containsString("decision=\"stopped\"")));
        }
    }

    @Test
    void should_write_the_number_of_dropped_lines() throws Exception {
        try (PrintStream output = new PrintStream(written, false, StandardCharsets.UTF_8)) {
            DecisionLog log = new DecisionLog(output);
            for (int line = 0; line < QUEUE_CAPACITY + 3; line++) {
                log.write("node", "counted", "line=" + line);
            }
            log.flush();
            List<String> lines = lines();
            assertThat(lines, hasSize(QUEUE_CAPACITY + 1));
            assertThat(lines.getLast(), containsString("decision=\"lines dropped\" count=3"));
        }
    }

    /** A caller that waits for a flush or for the writer thread would stop the traffic with the output. */
    @Test
    void should_not_block_callers_while_the_output_is_blocked() throws Exception {
        try (PausedOutput output = new PausedOutput(written)) {
            DecisionLog log = new DecisionLog(output);
            log.start();
            log.write("node", "counted", "line=first");
            output.awaitWrite();
            CompletableFuture<List<String>> afterFlush = linesAfterFlush(log);
            CompletableFuture.runAsync(() -> {
                        for (int line = 0; line < 2 * QUEUE_CAPACITY; line++) {
                            log.write("node", "counted", "line=" + line);
                        }
                    })
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            output.resume();
            afterFlush.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private CompletableFuture<List<String>> linesAfterFlush(DecisionLog log) {
        return CompletableFuture.supplyAsync(() -> {
            log.flush();
            return lines();
        });
    }

    private List<String> lines() {
        return written.toString(StandardCharsets.UTF_8).lines().toList();
    }

    /** Output whose writes wait, before they take a lock of the stream, until the test resumes it. */
    private static final class PausedOutput extends PrintStream {
        private final CountDownLatch writing = new CountDownLatch(1);
        private final CountDownLatch resumed = new CountDownLatch(1);

        PausedOutput(ByteArrayOutputStream written) {
            super(written, false, StandardCharsets.UTF_8);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) {
            writing.countDown();
            try {
                resumed.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            super.write(bytes, offset, length);
        }

        void awaitWrite() throws InterruptedException {
            assertThat("writer thread writes", writing.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }

        void resume() {
            resumed.countDown();
        }

        @Override
        public void close() {
            resume();
            super.close();
        }
    }
}
