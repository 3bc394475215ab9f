package org.geraniumproxy.measure.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Child process with its output redirected to a file. */
final class ManagedProcess implements AutoCloseable {
    /** Small, because a deployment runs six JVMs on one machine. */
    private static final String JAVA_OPTIONS = "-Xmx128m -XX:+UseSerialGC -XX:TieredStopAtLevel=1";

    /** Time after which a process that does not stop is killed. */
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration OUTPUT_POLL_INTERVAL = Duration.ofMillis(50);

    private final String name;
    private final Process process;
    private final Path output;

    private ManagedProcess(String name, Process process, Path output) {
        this.name = name;
        this.process = process;
        this.output = output;
    }

    static ManagedProcess start(String name, Path folder, Path program, List<String> arguments) {
        List<String> command = new ArrayList<>();
        command.add(program.toString());
        command.addAll(arguments);
        Path output = folder.resolve(name + ".log");
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(output.toFile());
        builder.environment().put("GERANIUMPROXY_JAVA_OPTIONS", JAVA_OPTIONS);
        try {
            return new ManagedProcess(name, builder.start(), output);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot start " + program, e);
        }
    }

    /**
     * Waits until the output contains a text.
     *
     * @throws DeploymentException if the process ends or the timeout passes first
     */
    void awaitOutput(String text, Duration timeout) throws InterruptedException {
        Deadline deadline = Deadline.after(Clock.systemUTC(), timeout);
        while (!output().contains(text)) {
            if (!process.isAlive() || deadline.hasPassed()) {
                throw new DeploymentException(name + " did not print \"" + text + "\"; its output:\n" + output());
            }
            Thread.sleep(OUTPUT_POLL_INTERVAL);
        }
    }

    /**
     * Waits until the process exits with 0.
     *
     * @throws DeploymentException if it exits with another code or the timeout passes first
     */
    void awaitSuccess(Duration timeout) throws InterruptedException {
        if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new DeploymentException(name + " did not exit in time; its output:\n" + output());
        }
        if (process.exitValue() != 0) {
            throw new DeploymentException(
                    name + " exited with code " + process.exitValue() + "; its output:\n" + output());
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String name() {
        return name;
    }

    String output() {
        try {
            return Files.exists(output) ? Files.readString(output) : "";
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + output, e);
        }
    }

    void requestStop() {
        process.destroy();
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
