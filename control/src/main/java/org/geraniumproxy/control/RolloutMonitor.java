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

/** Polls VMs until all live ones use an accepted revision. Its state is confined to the event loop. */
final class RolloutMonitor {
    /**
     * Interval between polls. VMs poll for a new revision themselves and learn it within one or two of their own
     * intervals.
     */
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
     * Waits until all live VMs use a revision.
     *
     * @param client queries the VMs
     * @param eventLoop runs the polls and owns their state
     * @param revision the accepted revision
     * @param roster the VMs to poll
     * @param timeout maximum wait
     * @return the last status, which is not {@link RolloutStatus.InForce} if the timeout expired
     */
    static CompletableFuture<RolloutStatus> await(
            NodeStatusClient client, EventLoop eventLoop, long revision, Roster roster, Duration timeout) {
        RolloutMonitor monitor = new RolloutMonitor(
                client, eventLoop, revision, roster, eventLoop.now().plus(timeout));
        eventLoop.execute(monitor::poll);
        return monitor.result;
    }

    /**
     * Polls the VMs that have not reported the revision, and all voters, because their lists of live VMs must be
     * current.
     */
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

    /** Drops the live VMs of a non-voter: its list would become stale, because only voters are polled again. */
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
