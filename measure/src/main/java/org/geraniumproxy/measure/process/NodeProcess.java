package org.geraniumproxy.measure.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Node of the platform as a separate process that is restarted with the same settings and ports. */
public final class NodeProcess {
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    private final String name;
    private final int callerPort;
    private final int readyPort;
    private final int metricsPort;
    private final Path settings;
    private final Path log;
    private final AtomicBoolean claimed = new AtomicBoolean();
    private volatile Process process;

    /**
     * Writes the settings of a node, which isn't started yet.
     *
     * @param name name of the node
     * @param ports allocates the ports of the node
     * @param storePort port of the store and of the cloud API
     * @param grace time between SIGTERM and SIGKILL
     * @param folder folder of the settings and the log
     * @throws IOException if the files cannot be written
     */
    public NodeProcess(String name, PortAllocator ports, int storePort, Duration grace, Path folder)
            throws IOException {
        this.name = name;
        this.callerPort = ports.allocate();
        this.readyPort = ports.allocate();
        this.metricsPort = ports.allocate();
        this.settings = folder.resolve(name + ".json");
        this.log = folder.resolve(name + ".log");
        int peerPort = ports.allocate();
        Files.deleteIfExists(log);
        Files.writeString(settings, """
                {"nodeName": "%s", "role": "node", "machineClass": "edge", "serves": ["edge"], "ip": "127.0.0.1",
                 "zone": "lima-a", "region": "lima", "zones": {"lima-a": "lima"}, "portRange": [%d, %d],
                 "listenAddrs": {"frontend": "127.0.0.1:%d", "ready": "127.0.0.1:%d"}, "seedNodes": [],
                 "bootstrap": true, "heartbeatMs": 1200,
                 "limits": {"cpuQuota": 0.75, "cpuCores": 2, "memoryMb": 560, "maxFds": 6300},
                 "bounds": {"catchUpS": 4, "drainMs": 7000, "graceS": %d, "lossSlackMs": 200, "configApplyMs": 3000},
                 "platform": {"address": "127.0.0.1:%d", "form": "kv", "writesPerS": 400, "readsPerS": 2000},
                 "cloudApi": {"address": "127.0.0.1:%d", "duties": ["failover"], "dutiesPerS": 50.0}}
                """.formatted(
                        name, peerPort, peerPort, callerPort, readyPort, grace.toSeconds(), storePort, storePort));
    }

    /**
     * Returns the name of the node.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Returns the port that clients connect to.
     *
     * @return the port
     */
    public int callerPort() {
        return callerPort;
    }

    /**
     * Reserves the node for one stop or start at a time.
     *
     * @return false if it is reserved already
     */
    public boolean claim() {
        return claimed.compareAndSet(false, true);
    }

    /** Ends the reservation of the node. */
    public void release() {
        claimed.set(false);
    }

    /**
     * Returns whether the node is reserved.
     *
     * @return true if it is
     */
    public boolean isClaimed() {
        return claimed.get();
    }

    /**
     * Starts the process.
     *
     * @throws IOException if the process cannot be started
     */
    public void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                        ProcessHandle.current().info().command().orElseThrow(),
                        "-Xmx96m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.geraniumproxy.platform.node.PlatformMain")
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().put("GERANIUMPROXY_SETTINGS", settings.toString());
        builder.environment().put("METRICS_PORT", Integer.toString(metricsPort));
        process = builder.start();
    }

    /** Sends SIGTERM. */
    public void terminate() {
        process.destroy();
    }

    /**
     * Sends SIGKILL and waits for the end of the process.
     *
     * @throws InterruptedException if the thread was interrupted
     */
    public void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /**
     * Sends SIGHUP if the process still runs.
     *
     * @throws IOException if the signal cannot be sent
     * @throws InterruptedException if the thread was interrupted
     */
    public void hangUp() throws IOException, InterruptedException {
        signal("HUP");
    }

    /**
     * Sends SIGSTOP if the process still runs. It does nothing until {@link #unfreeze}, and can be killed.
     *
     * @throws IOException if the signal cannot be sent
     * @throws InterruptedException if the thread was interrupted
     */
    public void freeze() throws IOException, InterruptedException {
        signal("STOP");
    }

    /**
     * Sends SIGCONT if the process still runs.
     *
     * @throws IOException if the signal cannot be sent
     * @throws InterruptedException if the thread was interrupted
     */
    public void unfreeze() throws IOException, InterruptedException {
        signal("CONT");
    }

    private void signal(String name) throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        }
    }

    /**
     * Waits for the end of the process.
     *
     * @param timeout longest wait
     * @return false at the timeout
     * @throws InterruptedException if the thread was interrupted
     */
    public boolean awaitEnd(Duration timeout) throws InterruptedException {
        return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns whether the process runs.
     *
     * @return true if it does
     */
    public boolean isAlive() {
        return process.isAlive();
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the code, 143 after SIGTERM without a handler
     * @throws IllegalThreadStateException if the process still runs
     */
    public int exitCode() {
        return process.exitValue();
    }

    /**
     * Asks for readiness as the platform does.
     *
     * @return whether the answer was 200
     * @throws InterruptedException if the thread was interrupted
     */
    public boolean isReady() throws InterruptedException {
        try (LineSocket probe = LineSocket.connect(readyPort, Duration.ZERO)) {
            probe.setTimeout(PROBE_TIMEOUT);
            probe.write("GET /geraniumproxy/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
            return probe.readLine().orElse("").startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false; // refused, reset or late: a miss
        }
    }

    private boolean acceptsCallers() {
        try (LineSocket _ = LineSocket.connect(callerPort, Duration.ZERO)) {
            return true;
        } catch (IOException e) {
            return false; // not listening yet
        }
    }

    /**
     * Waits for readiness or, if it isn't asked for, for the first accepted connection.
     *
     * @param clock clock of the run
     * @param ready whether to wait for readiness
     * @param timeout longest wait
     * @return false at the timeout
     * @throws InterruptedException if the thread was interrupted
     */
    public boolean awaitStart(Clock clock, boolean ready, Duration timeout) throws InterruptedException {
        Instant end = clock.instant().plus(timeout);
        while (!(ready ? isReady() : acceptsCallers())) {
            if (clock.instant().isAfter(end)) {
                return false;
            }
            Thread.sleep(Duration.ofMillis(20));
        }
        return true;
    }
}
