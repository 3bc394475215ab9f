package org.geraniumproxy.proxy.transport;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.not;

import io.grpc.ManagedChannel;
import io.grpc.Server;
import io.grpc.Status;
import io.grpc.StatusRuntimeException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.geraniumproxy.protocol.NodeStatusRequest;
import org.geraniumproxy.protocol.PeerServiceGrpc;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against replaced certificates that take effect only after a restart, and against connections between peers
 * that do not trust each other's certificates.
 */
class TlsMaterial_reload_Test {
    private final RecordingScheduler scheduler = new RecordingScheduler();

    @TempDir
    private Path folder;

    @AfterEach
    void close() {
        scheduler.shutdownNow();
    }

    @Test
    void should_use_new_files_when_they_are_replaced() throws Exception {
        // given a server whose certificate the client does not trust
        install("server", "first", "second", 1);
        install("client", "second", "second", 1);
        try (TlsMaterial serverMaterial = load("server");
                TlsMaterial clientMaterial = load("client")) {
            Server server = GrpcServers.start(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                    Optional.of(serverMaterial.peerServerContext()),
                    Runnable::run,
                    List.of(),
                    List.of(new PeerServiceGrpc.PeerServiceImplBase() {}));
            Status.Code before = call(server, clientMaterial);

            // when the server gets the trusted one
            install("server", "second", "second", 2);
            scheduler.fileChecks.forEach(Runnable::run);
            Status.Code after = call(server, clientMaterial);
            server.shutdownNow();

            // then the call reaches the service, which does not implement it
            assertThat(before, not(equalTo(Status.Code.UNIMPLEMENTED)));
            assertThat(after, equalTo(Status.Code.UNIMPLEMENTED));
        }
    }

    private static Status.Code call(Server server, TlsMaterial material) {
        ManagedChannel channel = NettyChannelFactory.withTls(material).create("127.0.0.1:" + server.getPort());
        try {
            var unused = PeerServiceGrpc.newBlockingStub(channel)
                    .withDeadlineAfter(20, TimeUnit.SECONDS)
                    .nodeStatus(NodeStatusRequest.getDefaultInstance());
            return Status.Code.OK;
        } catch (StatusRuntimeException e) {
            return e.getStatus().getCode();
        } finally {
            channel.shutdownNow();
        }
    }

    private TlsMaterial load(String name) throws Exception {
        TlsFiles files = new TlsFiles(
                folder.resolve(name + "-certificate"), folder.resolve(name + "-key"), folder.resolve(name + "-trust"));
        return TlsMaterial.load(files, Duration.ofMinutes(1), scheduler);
    }

    private void install(String name, String identity, String trusted, int modificationTime) throws IOException {
        copy(identity + "-certificate.pem", name + "-certificate", modificationTime);
        copy(identity + "-key.pem", name + "-key", modificationTime);
        copy(trusted + "-certificate.pem", name + "-trust", modificationTime);
    }

    private void copy(String resource, String name, int modificationTime) throws IOException {
        Path target = folder.resolve(name);
        try (var content = TlsMaterial_reload_Test.class.getResourceAsStream("/tls/" + resource)) {
            Files.copy(content, target, StandardCopyOption.REPLACE_EXISTING);
        }
        Files.setLastModifiedTime(target, FileTime.from(Instant.ofEpochSecond(1_700_000_000L + modificationTime)));
    }

    /** Collects the scheduled file checks, so that the test runs them itself. */
    private static final class RecordingScheduler extends ScheduledThreadPoolExecutor {
        private final List<Runnable> fileChecks = new ArrayList<>();

        RecordingScheduler() {
            super(1);
        }

        @Override
        public ScheduledFuture<?> scheduleWithFixedDelay(Runnable fileCheck, long initial, long delay, TimeUnit unit) {
            fileChecks.add(fileCheck);
            return schedule(() -> {}, 1, TimeUnit.HOURS);
        }
    }
}
