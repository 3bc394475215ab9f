package org.geraniumproxy.core.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.VmName;

/**
 * Loads that the VMs of a region told the watcher of their groups with their requests.
 *
 * @param byVm figures of each VM that was heard lately
 */
public record LoadReports(Map<VmName, VmLoads> byVm) {
    /** No VM was heard. */
    public static final LoadReports NONE = new LoadReports(Map.of());

    /** Age from which figures don't count. A VM tells them every 500 ms, so that three lost messages do no harm. */
    static final Duration RETENTION = Duration.ofSeconds(2);

    /**
     * Figures of one VM.
     *
     * @param heardAt time of its latest request
     * @param loads latest figures of each database
     */
    public record VmLoads(Instant heardAt, Map<BackendServerName, ReceivedReport> loads) {
        /** Copies the map. */
        public VmLoads {
            loads = Map.copyOf(loads);
        }
    }

    /**
     * A report with the time of its arrival.
     *
     * @param report the report
     * @param at time at which it arrived
     */
    public record ReceivedReport(LoadReport report, Instant at) {}

    /**
     * Sums over several VMs.
     *
     * @param vms number of VMs that were heard, whether they use the databases or not
     * @param loads load of each database
     */
    public record Sums(int vms, Map<BackendServerName, LoadReport> loads) {
        /** Sums over no VM. */
        public static final Sums NONE = new Sums(0, Map.of());

        /** Copies the map. */
        public Sums {
            loads = Map.copyOf(loads);
        }
    }

    /** Copies the map. */
    public LoadReports {
        byVm = Map.copyOf(byVm);
    }

    /**
     * Records the figures of a VM. Databases that it doesn't name keep their earlier figures, because a VM asks for
     * each block of groups separately.
     *
     * @param vm VM that told its load
     * @param loads its load of some databases
     * @param now current time
     * @return reports without the expired ones
     */
    public LoadReports with(VmName vm, Map<BackendServerName, LoadReport> loads, Instant now) {
        Map<VmName, VmLoads> next = new HashMap<>();
        byVm.forEach((known, figures) -> {
            if (isRecent(figures.heardAt(), now)) {
                next.put(known, figures);
            }
        });
        Map<BackendServerName, ReceivedReport> merged = new HashMap<>();
        Optional.ofNullable(next.get(vm))
                .ifPresent(figures -> figures.loads().forEach((database, received) -> {
                    if (isRecent(received.at(), now)) {
                        merged.put(database, received);
                    }
                }));
        loads.forEach((database, report) -> merged.put(database, new ReceivedReport(report, now)));
        next.put(vm, new VmLoads(now, merged));
        return new LoadReports(next);
    }

    /**
     * Sums the figures of all VMs but the one that asks: it knows its own newest figures, and counts them itself.
     *
     * @param databases databases to sum up
     * @param requester VM that asks
     * @param now current time
     * @return sums and their mean ages
     */
    public Sums sumWithout(Set<BackendServerName> databases, VmName requester, Instant now) {
        Map<BackendServerName, LoadReport> sums = new HashMap<>();
        int vms = 0;
        for (Map.Entry<VmName, VmLoads> known : byVm.entrySet()) {
            if (!known.getKey().equals(requester) && isRecent(known.getValue().heardAt(), now)) {
                vms++;
            }
        }
        for (BackendServerName database : databases) {
            sums.put(database, sumWithout(database, requester, now));
        }
        return new Sums(vms, sums);
    }

    private LoadReport sumWithout(BackendServerName database, VmName requester, Instant now) {
        int outstanding = 0;
        int count = 0;
        Duration ages = Duration.ZERO;
        ResponseSummary responses = ResponseSummary.NONE;
        for (Map.Entry<VmName, VmLoads> known : byVm.entrySet()) {
            ReceivedReport received = known.getValue().loads().get(database);
            if (received != null && !known.getKey().equals(requester) && isRecent(received.at(), now)) {
                outstanding += received.report().outstanding();
                responses = responses.plus(received.report().responses());
                ages = ages.plus(received.report().age()).plus(age(received.at(), now));
                count++;
            }
        }
        return new LoadReport(outstanding, responses, ages.dividedBy(Math.max(1, count)));
    }

    private static boolean isRecent(Instant at, Instant now) {
        return age(at, now).compareTo(RETENTION) < 0;
    }

    private static Duration age(Instant at, Instant now) {
        return now.isAfter(at) ? Duration.between(at, now) : Duration.ZERO;
    }
}
