package org.geraniumproxy.measure.capacity;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.geraniumproxy.core.configuration.Configuration;
import org.geraniumproxy.core.failover.BackendStatus;
import org.geraniumproxy.core.failover.DetectionPolicy;
import org.geraniumproxy.core.failover.FailoverDecision;
import org.geraniumproxy.core.failover.FailoverEvent;
import org.geraniumproxy.core.failover.GroupState;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.ViewEvent;
import org.geraniumproxy.core.membership.ViewState;
import org.geraniumproxy.core.membership.ViewTopology;
import org.geraniumproxy.core.membership.ViewTransitions;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.core.routing.CoordinatorSelection;
import org.geraniumproxy.protocol.StatusReply;
import org.geraniumproxy.protocol.TermStart;
import org.geraniumproxy.protocol.ViewReply;
import org.geraniumproxy.protocol.ViewRequest;
import org.geraniumproxy.protocol.VmRecord;
import org.geraniumproxy.settings.ConfigurationReader;
import org.geraniumproxy.settings.FindingMessages;
import org.geraniumproxy.settings.ReadResult;

/**
 * Measures the processor time, memory and message size of each kind of control state at several sizes, on one thread.
 * {@code docs/CAPACITY.md} extrapolates the cost at full size from the growth with the size.
 */
public final class CapacityMeasurement {
    private static final int[] VM_COUNTS = {100, 400, 1600, 6400};
    private static final int[] PEER_COUNTS = {2, 13, 160};
    private static final int[] GROUP_COUNTS = {25, 100, 400};
    private static final int[] CUSTOMER_COUNTS = {100, 400, 1600};
    private static final int[] SUPERVISED_GROUP_COUNTS = {1, 10, 100};

    private final ResourceMeter meter = new ResourceMeter();
    private final List<CapacityResult> results = new ArrayList<>();

    /**
     * Runs all measurements.
     *
     * @return the results in order of measurement
     */
    public List<CapacityResult> run() {
        for (int vms : VM_COUNTS) {
            measureRoster(vms);
        }
        for (int peers : PEER_COUNTS) {
            measureViewExchange(peers);
        }
        for (int groups : GROUP_COUNTS) {
            measureConfiguration("groups", groups, FleetInputs.configurationText(groups, 1));
        }
        for (int customers : CUSTOMER_COUNTS) {
            measureConfiguration("customers", customers, FleetInputs.configurationText(1, customers));
        }
        for (int groups : SUPERVISED_GROUP_COUNTS) {
            measureSupervision(groups);
        }
        measureMessages();
        return List.copyOf(results);
    }

    private void measureRoster(int vms) {
        Roster roster = FleetInputs.roster(vms);
        ViewTopology topology = ViewTopology.of(roster);
        VmName self = FleetInputs.vmName(vms - 1);
        add("topology of a new roster", "VMs", vms, meter.medianMicrosPerCall(20, () -> ViewTopology.of(roster)), "us");
        add(
                "choice of upstreams",
                "VMs",
                vms,
                meter.medianMicrosPerCall(20, () -> topology.peersOf(self, Set.of())),
                "us");
        add(
                "coordinator of one group",
                "VMs",
                vms,
                meter.medianMicrosPerCall(20, () -> rankCoordinators(roster)),
                "us");
        add("roster in the store", "VMs", vms, toMessage(roster).getSerializedSize(), "bytes");
        add(
                "one VM in the roster",
                "VMs",
                vms,
                toMessage(roster).getVms(vms - 1).getSerializedSize(),
                "bytes");
        add("view state in memory", "VMs", vms, meter.retainedKilobytes(() -> FleetInputs.view(vms, 0)), "kB");
    }

    private static List<VmName> rankCoordinators(Roster roster) {
        return CoordinatorSelection.rank(FleetInputs.group(0), Optional.empty(), roster, Set.of());
    }

    private void measureViewExchange(int peers) {
        int vms = VM_COUNTS[VM_COUNTS.length - 1];
        ViewState state = FleetInputs.view(vms, peers);
        ViewEvent reply = FleetInputs.peerReply(1);
        double micros = meter.medianMicrosPerCall(200, () -> exchange(state, reply));
        add("one view exchange, 6400 VMs", "peers", peers, micros, "us");
        double tick = meter.medianMicrosPerCall(20, () -> exchange(state, new ViewEvent.TimePassed()));
        add("one control tick, 6400 VMs", "peers", peers, tick, "us");
    }

    private static Object exchange(ViewState state, ViewEvent event) {
        ViewState next = ViewTransitions.apply(state, event, FleetInputs.NOW).state();
        return List.of(next.provenAt(FleetInputs.NOW), next.unavailable(FleetInputs.NOW));
    }

    private void measureConfiguration(String input, int size, String text) {
        add("configuration text", input, size, text.getBytes(StandardCharsets.UTF_8).length, "bytes");
        double micros = meter.medianMicrosPerCall(3, () -> readConfiguration(text));
        add("reading a configuration", input, size, micros, "us");
        double kilobytes = meter.retainedKilobytes(() -> readConfiguration(text));
        add("configuration in memory", input, size, kilobytes, "kB");
    }

    private static Configuration readConfiguration(String text) {
        return switch (ConfigurationReader.read("capacity.toml", text)) {
            case ReadResult.Accepted<Configuration> accepted -> accepted.value();
            case ReadResult.Rejected<Configuration> rejected ->
                throw new IllegalStateException(FindingMessages.of(rejected.findings()));
        };
    }

    private void measureSupervision(int groups) {
        List<GroupState> states = new ArrayList<>();
        for (int group = 0; group < groups; group++) {
            states.add(supervisedGroup());
        }
        BackendStatus status = FleetInputs.status(1, 5_000, FleetInputs.NOW);
        FailoverEvent event = new FailoverEvent.StatusReceived(status);
        double micros = meter.medianMicrosPerCall(
                200,
                () -> states.stream()
                        .map(state -> FailoverDecision.decide(state, event, FleetInputs.NOW))
                        .toList());
        add("one status report of every group", "groups", groups, micros, "us");
        double kilobytes = meter.retainedKilobytes(() ->
                IntStream.range(0, groups).mapToObj(group -> supervisedGroup()).toList());
        add("state of supervised groups", "groups", groups, kilobytes, "kB");
    }

    /** Creates the state of a group after 200 status reports of each of its three databases. */
    private static GroupState supervisedGroup() {
        Vm self = FleetInputs.roster(1).vms().getFirst();
        DetectionPolicy policy = new DetectionPolicy.FixedTimeout(Duration.ofSeconds(1));
        GroupState state = GroupState.initial(FleetInputs.group(0), self, 0, policy);
        for (int report = 0; report < 200; report++) {
            Instant sentAt = FleetInputs.NOW.minusMillis(100L * (200 - report));
            for (int database = 0; database < 3; database++) {
                FailoverEvent event =
                        new FailoverEvent.StatusReceived(FleetInputs.status(database, 10L * report, sentAt));
                state = FailoverDecision.decide(state, event, sentAt.plusMillis(2))
                        .state();
            }
        }
        return state;
    }

    private void measureMessages() {
        ViewRequest request = ViewRequest.newBuilder()
                .setFromVm("entry-vm-6399")
                .setFromIncarnation(1_700_000_006_399L)
                .setConfigurationRevision(28_000)
                .setRosterRevision(4_200)
                .build();
        ViewReply reply = ViewReply.newBuilder()
                .setVm("entry-vm-1")
                .setIncarnation(1_700_000_000_001L)
                .setConfigurationRevision(28_000)
                .setRosterRevision(4_200)
                .setAgeMillis(700)
                .setMayVote(true)
                .build();
        StatusReply status = StatusReply.newBuilder()
                .setBackendServer("database-3166-2")
                .setFencedTerm(8193)
                .setReplicatingTerm(8193)
                .setLastEntryTerm(8193)
                .setPosition(1L << 40)
                .setPrimarySilenceMillis(100)
                .setOpenConnections(16)
                .addTermStarts(TermStart.newBuilder().setTerm(8193).setStartPosition(1L << 39))
                .build();
        add("view request", "message", 1, request.getSerializedSize(), "bytes");
        add("view reply without contents", "message", 1, reply.getSerializedSize(), "bytes");
        add("status report", "message", 1, status.getSerializedSize(), "bytes");
    }

    private static org.geraniumproxy.protocol.Roster toMessage(Roster roster) {
        org.geraniumproxy.protocol.Roster.Builder builder = org.geraniumproxy.protocol.Roster.newBuilder()
                .setRevision(roster.revision())
                .setNextIndex(roster.nextIndex());
        for (Vm vm : roster.vms()) {
            builder.addVms(VmRecord.newBuilder()
                    .setIndex(vm.index())
                    .setName(vm.name().value())
                    .setAddress(vm.address())
                    .setRegion(vm.region().value())
                    .setFailureDomain(vm.failureDomain().value())
                    .setIncarnation(vm.incarnation()));
        }
        return builder.build();
    }

    private void add(String quantity, String input, int size, double value, String unit) {
        results.add(new CapacityResult(quantity, input, size, value, unit));
    }
}
