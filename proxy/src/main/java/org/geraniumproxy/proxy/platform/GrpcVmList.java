package org.geraniumproxy.proxy.platform;

import io.grpc.Channel;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.protocol.ListReply;
import org.geraniumproxy.protocol.ListRequest;
import org.geraniumproxy.protocol.ListedVm;
import org.geraniumproxy.protocol.VmListServiceGrpc;
import org.geraniumproxy.proxy.transport.UnaryReply;

/** Queries the platform's list of VMs over gRPC. */
public final class GrpcVmList implements VmList {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);

    private final Channel channel;
    private final Executor executor;

    /**
     * Creates a client.
     *
     * @param channel channel to the service that provides the list
     * @param executor completes the futures, so that no continuation runs on a transport thread
     */
    public GrpcVmList(Channel channel, Executor executor) {
        this.channel = channel;
        this.executor = executor;
    }

    @Override
    public CompletableFuture<Set<BackendServerName>> leavingBackendServers() {
        UnaryReply<ListReply> reply = new UnaryReply<>();
        VmListServiceGrpc.newStub(channel)
                .withDeadlineAfter(CALL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .list(ListRequest.getDefaultInstance(), reply);
        return reply.future().thenApplyAsync(GrpcVmList::leaving, executor);
    }

    private static Set<BackendServerName> leaving(ListReply reply) {
        return reply.getBackendServersList().stream()
                .filter(ListedVm::getLeaving)
                .map(listed -> BackendServerName.of(listed.getName()))
                .collect(Collectors.toUnmodifiableSet());
    }
}
