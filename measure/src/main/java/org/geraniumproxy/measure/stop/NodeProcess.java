package org.geraniumproxy.measure.stop;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Node of the platform as a separate process that is restarted with the same settings and ports. */
final class NodeProcess {
    private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

    private final String name;
    private final int callerPort;
    private final int readyPort;
    private final int metricsPort;
    private final Path settings;
    private final Path log;
    private final AtomicBoolean claimed = new AtomicBoolean();
    private volatile Process process;

    NodeProcess(String name, PortAllocator ports, int storePort, Duration grace, Path folder) throws IOException {
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

    String name() {
        return name;
    }

    int callerPort() {
        return callerPort;
    }

    /** Reserves the node for one stop or start at a time. Returns false if it is reserved already. */
    boolean claim() {
        return claimed.compareAndSet(false, true);
    }

    void release() {
        claimed.set(false);
    }

    boolean isClaimed() {
        return claimed.get();
    }

    void start() throws IOException {
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
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL and waits for the end of the process. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    /** Sends SIGHUP if the process still runs. */
    void hangUp() throws IOException, InterruptedException {
        if (process.isAlive()) {
            new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                    .start()
                    .waitFor();
        }
    }

    boolean awaitEnd(Duration timeout) throws InterruptedException {
        return process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Asks as the platform does, and returns whether the answer was 200. */
    boolean isReady() throws InterruptedException {
        try (LineSocket probe = LineSocket.connect(readyPort, Duration.ZERO)) {
            probe.setTimeout(PROBE_TIMEOUT);
            probe.write("GET /geraniumproxy/readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
            return probe.readLine().orElse("").startsWith("HTTP/1.1 200");
        } catch (IOException e) {
            return false; // refused, reset or late: a miss
        }
    }

    boolean acceptsCallers() {
        try (LineSocket _ = LineSocket.connect(callerPort, Duration.ZERO)) {
            return true;
        } catch (IOException e) {
            return false; // not listening yet
        }
    }

    /**
     * Waits for readiness or, if it isn't asked for, for the first accepted connection. Returns false at the timeout.
     */
    boolean awaitStart(Clock clock, boolean ready, Duration timeout) throws InterruptedException {
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
