package org.geraniumproxy.standin.platform;

import io.grpc.stub.StreamObserver;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import org.geraniumproxy.protocol.HistoryReply;
import org.geraniumproxy.protocol.ListReply;
import org.geraniumproxy.protocol.ListRequest;
import org.geraniumproxy.protocol.ListedVm;
import org.geraniumproxy.protocol.VmListServiceGrpc;
import org.geraniumproxy.standin.runtime.FaultFilter;
import org.geraniumproxy.standin.runtime.FaultTarget;
import org.geraniumproxy.standin.runtime.Faults;
import org.geraniumproxy.standin.runtime.ReplyStream;
import org.geraniumproxy.standin.runtime.SerialExecutor;

/** gRPC service of the VM list, which also lists backend servers. */
public final class VmListServer extends VmListServiceGrpc.VmListServiceImplBase implements FaultTarget {
    private final SerialExecutor executor;
    private final FaultFilter faultFilter;
    private final VmList vms;
    private final VmList backendServers;

    /**
     * Creates a list without backend servers.
     *
     * @param vmNames VMs that it shows from the start
     * @param lag time until it shows a change
     * @param executor runs everything that touches its state
     */
    public VmListServer(List<String> vmNames, Duration lag, SerialExecutor executor) {
        this.executor = executor;
        this.faultFilter = new FaultFilter(executor);
        this.vms = new VmList(lag);
        this.backendServers = new VmList(lag);
        vmNames.forEach(vms::add);
    }

    /**
     * Adds a backend server, which is visible at once.
     *
     * @param name its name
     */
    public void addBackendServer(String name) {
        executor.execute(() -> backendServers.add(name));
    }

    /**
     * Records whether a VM is leaving; visible after the lag.
     *
     * @param name name of the VM
     * @param leaving whether it is leaving
     */
    public void setVmLeaving(String name, boolean leaving) {
        executor.execute(() -> vms.setLeaving(name, leaving, executor.now()));
    }

    /**
     * Records whether a backend server is leaving; visible after the lag.
     *
     * @param name name of the backend server
     * @param leaving whether it is leaving
     */
    public void setBackendServerLeaving(String name, boolean leaving) {
        executor.execute(() -> backendServers.setLeaving(name, leaving, executor.now()));
    }

    @Override
    public void list(ListRequest request, StreamObserver<ListReply> observer) {
        ReplyStream<ListReply> reply = ReplyStream.of(observer);
        faultFilter.dispatch(
                reply,
                () -> faultFilter.sendReply(
                        reply,
                        ListReply.newBuilder()
                                .addAllVms(encode(vms))
                                .addAllBackendServers(encode(backendServers))
                                .build()));
    }

    @Override
    public void inject(Faults faults) {
        faultFilter.inject(faults);
    }

    @Override
    public HistoryReply history() {
        return HistoryReply.getDefaultInstance();
    }

    private List<ListedVm> encode(VmList list) {
        return list.visibleAt(executor.now()).entrySet().stream()
                .map(entry -> ListedVm.newBuilder()
                        .setName(entry.getKey())
                        .setLeaving(entry.getValue())
                        .build())
                .sorted(Comparator.comparing(ListedVm::getName))
                .toList();
    }
}
