package org.geraniumproxy.standin.database;

import io.grpc.ManagedChannel;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import org.geraniumproxy.protocol.BackendServiceGrpc;
import org.geraniumproxy.protocol.FaultReply;
import org.geraniumproxy.protocol.FaultRequest;
import org.geraniumproxy.protocol.FaultServiceGrpc;
import org.geraniumproxy.protocol.FenceRequest;
import org.geraniumproxy.protocol.FollowRequest;
import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.HistoryRequest;
import org.geraniumproxy.protocol.PromoteRequest;
import org.geraniumproxy.protocol.StatusReply;
import org.geraniumproxy.protocol.StatusRequest;
import org.geraniumproxy.standin.StandinPlatform;
import org.geraniumproxy.standin.Transport;
import org.geraniumproxy.standin.runtime.VirtualTimeExecutor;

/** Three databases a, b and c with in-process channels and virtual time. */
final class TestGroup implements AutoCloseable {
    private final VirtualTimeExecutor executor = VirtualTimeExecutor.at(Instant.EPOCH);
    private final StandinPlatform platform = StandinPlatform.start(new Transport.InProcess(), executor);
    private final String prefix = UUID.randomUUID().toString();
    private final List<ManagedChannel> channels = new ArrayList<>();

    TestGroup(DatabaseSettings settings) {
        for (String name : List.of("a", "b", "c")) {
            platform.addDatabase(name, prefix + name, settings);
        }
    }

    void advance(int millis) {
        executor.advance(Duration.ofMillis(millis));
    }

    ManagedChannel channel(String name) {
        ManagedChannel channel = platform.openChannel(prefix + name);
        channels.add(channel);
        return channel;
    }

    TestConnection connect(String name, long term) {
        return new TestConnection(channel(name), term);
    }

    boolean fence(String name, long term) {
        return stub(name).fence(FenceRequest.newBuilder().setTerm(term).build()).getAccepted();
    }

    boolean promote(String name, long term) {
        return stub(name)
                .promote(PromoteRequest.newBuilder().setTerm(term).build())
                .getAccepted();
    }

    boolean follow(String name, long term, String primary) {
        return stub(name)
                .follow(FollowRequest.newBuilder()
                        .setTerm(term)
                        .setPrimary(primary)
                        .setPrimaryAddress(prefix + primary)
                        .build())
                .getAccepted();
    }

    StatusReply status(String name) {
        return stub(name).status(StatusRequest.getDefaultInstance());
    }

    void inject(String name, FaultRequest.Builder faults) {
        FaultReply unused = FaultServiceGrpc.newBlockingStub(channel(name)).inject(faults.build());
    }

    HistoryReply history(String name) {
        return FaultServiceGrpc.newBlockingStub(channel(name)).history(HistoryRequest.getDefaultInstance());
    }

    private BackendServiceGrpc.BackendServiceBlockingStub stub(String name) {
        return BackendServiceGrpc.newBlockingStub(channel(name));
    }

    @Override
    public void close() {
        channels.forEach(ManagedChannel::shutdownNow);
        platform.close();
    }
}
