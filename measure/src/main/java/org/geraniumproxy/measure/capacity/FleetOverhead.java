package org.geraniumproxy.measure.capacity;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.fleet.FleetEffect;
import org.geraniumproxy.core.fleet.FleetEvent;
import org.geraniumproxy.core.fleet.FleetState;
import org.geraniumproxy.core.fleet.FleetTiming;
import org.geraniumproxy.core.fleet.PeerMessage;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.StoreRevision;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.limit.CustomerRate;
import org.geraniumproxy.core.limit.MemberChange;
import org.geraniumproxy.core.limit.RateOwnership;
import org.geraniumproxy.core.service.ServiceConfiguration;
import org.geraniumproxy.core.service.ServiceCustomer;
import org.geraniumproxy.core.service.ServiceGroup;

/**
 * Measures what the control decisions of one VM cost: while the VMs of a fleet register one after another and send
 * messages, and afterwards per second. Each event is a batch of its own, as on a VM that keeps up. The decisions run in
 * simulated time on the calling thread, without sockets.
 */
public final class FleetOverhead {
    private static final int GROUPS = 6;
    private static final int DATABASES_PER_GROUP = 3;
    private static final int CUSTOMERS = 84;
    private static final int REGIONS = 3;
    private static final int STEP_MILLIS = 50;
    private static final int STORE_PAGE_MILLIS = 150;
    private static final int REPORT_MILLIS = 100;
    private static final int JOIN_MILLIS = 2_000;
    private static final int START_MILLIS = 4_000;
    private static final int IDLE_MILLIS = 30_000;
    private static final int SMALL_FLEET = 8;
    private static final int SMALL_FLEET_INTERVAL_MILLIS = 400;
    private static final int MILLIS_PER_VM = 50;
    private static final int LONGEST_INTERVAL_MILLIS = 5_000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final int vms;
    private final VmName self = FleetInputs.vmName(0);
    private final Map<CustomerName, CustomerRate> rates = new HashMap<>();
    private FleetState state = FleetState.initial(self, new FleetTiming(Duration.ofSeconds(7), Duration.ofSeconds(4)));
    private RateOwnership ownership = RateOwnership.alone(self);
    private ServiceConfiguration configuration = ServiceConfiguration.NONE;
    private int listedVms;
    private long effects;
    private long trafficNanos;

    private FleetOverhead(int vms) {
        this.vms = vms;
    }

    /**
     * Measures a fleet. The first measurement of a process includes the interpretation of code that isn't compiled yet,
     * as at the start of a node.
     *
     * @param vms number of registrations
     * @return the processor time of the control decisions and of the owners of the rates, at the start and per second
     */
    public static List<CapacityResult> measure(int vms) {
        FleetOverhead fleet = new FleetOverhead(vms);
        long start = processorNanos();
        fleet.run(0, START_MILLIS);
        long started = processorNanos();
        double startTraffic = fleet.trafficNanos;
        fleet.run(START_MILLIS, START_MILLIS + IDLE_MILLIS);
        double seconds = IDLE_MILLIS / 1_000.0;
        double idleTraffic = fleet.trafficNanos - startTraffic;
        double idle = processorNanos() - started - idleTraffic;
        return List.of(
                result("control decisions at start", vms, (started - start - startTraffic) / NANOS_PER_MILLI, "ms"),
                result("owners of rates at start", vms, startTraffic / NANOS_PER_MILLI, "ms"),
                result("control decisions", vms, idle / NANOS_PER_MILLI / seconds, "ms/s"),
                result("owners of rates", vms, idleTraffic / NANOS_PER_MILLI / seconds, "ms/s"),
                result("effects", vms, (double) fleet.effects, "effects"));
    }

    /**
     * Measures fleets of the given sizes, in this order.
     *
     * @param arguments numbers of registrations
     */
    public static void main(String[] arguments) {
        for (String argument : arguments) {
            measure(Integer.parseInt(argument)).forEach(result -> System.out.println(result.toText()));
        }
    }

    private static CapacityResult result(String quantity, int vms, double value, String unit) {
        return new CapacityResult(quantity, "VMs", vms, value, unit);
    }

    private static long processorNanos() {
        return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
    }

    private void run(int fromMillis, int toMillis) {
        for (int millis = fromMillis; millis < toMillis; millis += STEP_MILLIS) {
            Instant now = FleetInputs.NOW.plusMillis(millis);
            events(millis, now).forEach(event -> apply(event, now));
        }
    }

    private void apply(FleetEvent event, Instant now) {
        var transition = state.on(event, now);
        state = transition.state();
        effects += transition.effects().size();
        for (FleetEffect effect : transition.effects()) {
            switch (effect) {
                case FleetEffect.PublishView publish -> {
                    configuration = publish.view().configuration();
                    updateRates(publish.ownership(), now);
                }
                case FleetEffect.PublishOwnership publish -> updateRates(publish.ownership(), now);
                default -> {}
            }
        }
    }

    /** Does what the traffic thread does with new owners. */
    private void updateRates(RateOwnership next, Instant now) {
        long start = processorNanos();
        MemberChange change = next.changeSince(ownership);
        ownership = next;
        for (ServiceCustomer customer : configuration.customers().values()) {
            rates.compute(
                    customer.name(),
                    (_, known) -> known == null
                            ? CustomerRate.initial(customer, next, now, 0, now)
                            : known.update(customer, next, change, now).state());
        }
        trafficNanos += processorNanos() - start;
    }

    private List<FleetEvent> events(int millis, Instant now) {
        List<FleetEvent> events = new ArrayList<>();
        if (millis == 0) {
            events.add(new FleetEvent.DatabasesListed(databases()));
            events.add(new FleetEvent.ConfigurationReceived(configuration()));
        }
        int registered = Math.min(vms, 1 + millis * vms / JOIN_MILLIS);
        if (millis % STORE_PAGE_MILLIS == 0 && registered > listedVms) {
            listedVms = registered;
            events.add(vmsListed(registered));
        }
        if (millis % (STORE_PAGE_MILLIS * 10) == 0) {
            events.add(new FleetEvent.RegistrationConfirmed(now));
        }
        for (int vm = 1; vm < listedVms; vm++) {
            if (sendsAt(vm, millis)) {
                events.add(new FleetEvent.PeerMessageReceived(heartbeat(vm)));
            }
        }
        if (millis % REPORT_MILLIS == 0) {
            events.add(report(millis));
        }
        return events;
    }

    /** A VM sends a message soon after it has registered, and then at the interval of its fleet. */
    private boolean sendsAt(int vm, int millis) {
        int interval = vms <= SMALL_FLEET
                ? SMALL_FLEET_INTERVAL_MILLIS
                : Math.min(vms * MILLIS_PER_VM, LONGEST_INTERVAL_MILLIS);
        int joined = JOIN_MILLIS * vm / vms / STEP_MILLIS * STEP_MILLIS;
        int age = millis - joined;
        return age == 2 * SMALL_FLEET_INTERVAL_MILLIS
                || (age >= 0 && (millis + vm * STEP_MILLIS) % (interval / STEP_MILLIS * STEP_MILLIS) == 0);
    }

    private static PeerMessage heartbeat(int vm) {
        return new PeerMessage(
                FleetInputs.vmName(vm), 1, true, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());
    }

    private static FleetEvent report(int millis) {
        Map<GroupName, LogPosition> acknowledged = new HashMap<>();
        Map<GroupName, Long> terms = new HashMap<>();
        for (int group = 0; group < GROUPS; group++) {
            acknowledged.put(FleetInputs.group(group).name(), LogPosition.of(1, millis));
            terms.put(FleetInputs.group(group).name(), 1L);
        }
        return new FleetEvent.TrafficReported(Map.of(), terms, acknowledged, Map.of());
    }

    private static FleetEvent vmsListed(int count) {
        Map<VmName, String> addresses = new HashMap<>();
        Map<VmName, RegionName> regions = new HashMap<>();
        for (int vm = 0; vm < count; vm++) {
            addresses.put(FleetInputs.vmName(vm), "10.1." + vm / 256 + "." + vm % 256 + ":7200");
            regions.put(FleetInputs.vmName(vm), RegionName.of("region-" + vm % REGIONS));
        }
        return new FleetEvent.VmsListed(addresses, regions);
    }

    private static Map<BackendServerName, DatabaseEntry> databases() {
        Map<BackendServerName, DatabaseEntry> entries = new HashMap<>();
        for (int group = 0; group < GROUPS; group++) {
            for (int database = 0; database < DATABASES_PER_GROUP; database++) {
                BackendServerName name = BackendServerName.of("database-" + group + "-" + database);
                entries.put(
                        name,
                        new DatabaseEntry(
                                name,
                                FleetInputs.group(group).name(),
                                "10.9.0.1:7300",
                                FailureDomain.of("domain-" + database),
                                6,
                                false,
                                database == 0,
                                1,
                                1,
                                new StoreRevision(1, 1)));
            }
        }
        return entries;
    }

    private static ServiceConfiguration configuration() {
        Map<GroupName, ServiceGroup> groups = new HashMap<>();
        for (int group = 0; group < GROUPS; group++) {
            GroupName name = FleetInputs.group(group).name();
            groups.put(name, new ServiceGroup(name, 82, 1));
        }
        Map<CustomerName, ServiceCustomer> customers = new HashMap<>();
        for (int customer = 0; customer < CUSTOMERS; customer++) {
            CustomerName name = CustomerName.of("customer-" + customer);
            customers.put(name, new ServiceCustomer(name, Set.of(), 8, 16));
        }
        return ServiceConfiguration.of(1, Map.of(), groups, customers, Duration.ofSeconds(3));
    }
}
