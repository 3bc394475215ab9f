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
import org.geraniumproxy.standin.runtime.FaultGate;
import org.geraniumproxy.standin.runtime.FaultTarget;
import org.geraniumproxy.standin.runtime.Faults;
import org.geraniumproxy.standin.runtime.Owner;
import org.geraniumproxy.standin.runtime.Reply;

/** The list of VMs over gRPC. */
public final class VmListServer extends VmListServiceGrpc.VmListServiceImplBase implements FaultTarget {
    private final Owner owner;
    private final FaultGate gate;
    private final VmList vms;
    private final VmList backendServers;

    /**
     * Creates the list.
     *
     * @param vmNames the VMs that it shows from the start
     * @param lag time after which it shows a change
     * @param owner the owner of its state
     */
    public VmListServer(List<String> vmNames, Duration lag, Owner owner) {
        this.owner = owner;
        this.gate = new FaultGate(owner);
        this.vms = new VmList(lag);
        this.backendServers = new VmList(lag);
        vmNames.forEach(vms::add);
    }

    /**
     * Adds a backend server.
     *
     * @param name its name
     */
    public void addBackendServer(String name) {
        owner.execute(() -> backendServers.add(name));
    }

    /**
     * Marks a VM; the list shows it after its lag.
     *
     * @param name name of the VM
     * @param leaving whether it is leaving
     */
    public void markVm(String name, boolean leaving) {
        owner.execute(() -> vms.mark(name, leaving, owner.now()));
    }

    /**
     * Marks a backend server; the list shows it after its lag.
     *
     * @param name name of the backend server
     * @param leaving whether it is leaving
     */
    public void markBackendServer(String name, boolean leaving) {
        owner.execute(() -> backendServers.mark(name, leaving, owner.now()));
    }

    @Override
    public void list(ListRequest request, StreamObserver<ListReply> observer) {
        Reply<ListReply> reply = Reply.of(observer);
        gate.admit(
                reply,
                () -> gate.answer(
                        reply,
                        ListReply.newBuilder()
                                .addAllVms(listed(vms))
                                .addAllBackendServers(listed(backendServers))
                                .build()));
    }

    @Override
    public void inject(Faults faults) {
        gate.inject(faults);
    }

    @Override
    public HistoryReply history() {
        return HistoryReply.getDefaultInstance();
    }

    private List<ListedVm> listed(VmList list) {
        return list.shownAt(owner.now()).entrySet().stream()
                .map(entry -> ListedVm.newBuilder()
                        .setName(entry.getKey())
                        .setLeaving(entry.getValue())
                        .build())
                .sorted(Comparator.comparing(ListedVm::getName))
                .toList();
    }
}
