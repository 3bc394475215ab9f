package org.geraniumproxy.control;

import io.grpc.ManagedChannel;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.protocol.GroupStatus;
import org.geraniumproxy.protocol.NodeStatusReply;
import org.geraniumproxy.protocol.NodeStatusRequest;
import org.geraniumproxy.protocol.PeerServiceGrpc;

/** Queries VMs over gRPC. Keeps one channel for each address until it is closed. */
final class GrpcNodeStatusClient implements NodeStatusClient {
    private final ChannelFactory channelFactory;
    private final EventLoop eventLoop;
    private final Duration timeout;
    private final Map<String, ManagedChannel> channels = new ConcurrentHashMap<>();

    GrpcNodeStatusClient(ChannelFactory channelFactory, EventLoop eventLoop, Duration timeout) {
        this.channelFactory = channelFactory;
        this.eventLoop = eventLoop;
        this.timeout = timeout;
    }

    @Override
    public CompletableFuture<NodeStatus> status(Vm vm) {
        ManagedChannel channel = channels.computeIfAbsent(vm.address(), channelFactory::open);
        PeerServiceGrpc.PeerServiceStub stub = PeerServiceGrpc.newStub(channel);
        return UnaryCall.<NodeStatusReply>start(
                        eventLoop,
                        timeout,
                        observer -> stub.nodeStatus(NodeStatusRequest.getDefaultInstance(), observer))
                .thenApply(reply -> decode(vm, reply));
    }

    @Override
    public void close() {
        channels.values().forEach(ManagedChannel::shutdownNow);
    }

    private static NodeStatus decode(Vm vm, NodeStatusReply reply) {
        if (!reply.getVm().equals(vm.name().value())) {
            throw new IllegalStateException("VM " + reply.getVm() + " answers at the address of " + vm.name());
        }
        return new NodeStatus(
                vm.name(),
                reply.getConfigurationRevision(),
                reply.getRosterRevision(),
                Optional.of(reply.getViewAgeMillis()).filter(age -> age >= 0).map(Duration::ofMillis),
                reply.getReady(),
                reply.getGroupsList().stream().map(GrpcNodeStatusClient::decode).toList(),
                reply.getLiveVmsList().stream().map(VmName::of).collect(Collectors.toUnmodifiableSet()));
    }

    private static NodeStatus.GroupState decode(GroupStatus group) {
        return new NodeStatus.GroupState(group.getGroup(), group.getTerm(), group.getPrimary(), group.getCoordinator());
    }
}
