package org.geraniumproxy.control;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.geraniumproxy.core.configuration.RolloutStatus;
import org.geraniumproxy.core.configuration.VmReport;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.ViewTopology;
import org.geraniumproxy.core.membership.Vm;

/** Asks VMs until an accepted revision is in force on all live ones. Its state belongs to the event loop. */
final class RolloutMonitor {
    /** Pause between two rounds; a poller of the fleet learns a revision within one or two of its own intervals. */
    static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private final NodeStatusClient client;
    private final EventLoop eventLoop;
    private final long revision;
    private final Roster roster;
    private final Set<VmName> voters;
    private final Instant deadline;
    private final Map<VmName, VmReport> reports = new HashMap<>();
    private final CompletableFuture<RolloutStatus> result = new CompletableFuture<>();

    private RolloutMonitor(
            NodeStatusClient client, EventLoop eventLoop, long revision, Roster roster, Instant deadline) {
        this.client = client;
        this.eventLoop = eventLoop;
        this.revision = revision;
        this.roster = roster;
        this.voters = Set.copyOf(ViewTopology.of(roster).voters());
        this.deadline = deadline;
    }

    /**
     * Waits for a revision.
     *
     * @param client asks the VMs
     * @param eventLoop owns the state of the wait
     * @param revision the revision
     * @param roster the VMs
     * @param timeout longest wait
     * @return the last status, which is not {@link RolloutStatus.InForce} if the wait was too short
     */
    static CompletableFuture<RolloutStatus> await(
            NodeStatusClient client, EventLoop eventLoop, long revision, Roster roster, Duration timeout) {
        RolloutMonitor monitor = new RolloutMonitor(
                client, eventLoop, revision, roster, eventLoop.now().plus(timeout));
        eventLoop.execute(monitor::poll);
        return monitor.result;
    }

    /** Asks the VMs that lack the revision, and the voters again, because their lists of live VMs must be fresh. */
    private void poll() {
        List<Vm> polledVms = roster.vms().stream()
                .filter(vm -> voters.contains(vm.name()) || !hasRevision(vm.name()))
                .toList();
        voters.forEach(reports::remove);
        List<CompletableFuture<Void>> replies =
                polledVms.stream().map(this::requestStatus).toList();
        CompletableFuture<Void> unused = CompletableFuture.allOf(replies.toArray(CompletableFuture[]::new))
                .thenRun(() -> eventLoop.execute(this::evaluate));
    }

    private CompletableFuture<Void> requestStatus(Vm vm) {
        return client.status(vm).handle((status, failure) -> {
            if (failure == null) {
                eventLoop.execute(() -> reports.put(vm.name(), toReport(status)));
            }
            return null;
        });
    }

    /** Only the voters are asked again, so that the lists of others would grow stale. */
    private VmReport toReport(NodeStatus status) {
        return voters.contains(status.vm())
                ? status.toReport()
                : new VmReport(status.vm(), status.configurationRevision(), Set.of());
    }

    private boolean hasRevision(VmName vm) {
        VmReport report = reports.get(vm);
        return report != null && report.revision() >= revision;
    }

    private void evaluate() {
        Set<VmName> vms = roster.vms().stream().map(Vm::name).collect(Collectors.toUnmodifiableSet());
        RolloutStatus status = RolloutStatus.evaluate(revision, voters, vms, Set.copyOf(reports.values()));
        if (status instanceof RolloutStatus.InForce || !eventLoop.now().isBefore(deadline)) {
            result.complete(status);
        } else {
            eventLoop.schedule(POLL_INTERVAL, this::poll);
        }
    }
}
