package org.geraniumproxy.measure.demo;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.measure.bench.Deployment;
import org.geraniumproxy.measure.bench.RunningDeployment;
import org.geraniumproxy.measure.failover.FailoverGaps;
import org.geraniumproxy.measure.failover.FaultInjector;
import org.geraniumproxy.measure.failover.FaultKind;
import org.geraniumproxy.measure.failover.ObservedFailover;
import org.geraniumproxy.measure.failover.WriteProbe;
import org.geraniumproxy.measure.load.Allowance;
import org.geraniumproxy.measure.load.DatabaseHistory;
import org.geraniumproxy.measure.load.GuaranteeViolation;
import org.geraniumproxy.measure.load.HistoryChecks;
import org.geraniumproxy.measure.load.LoadRecorder;
import org.geraniumproxy.measure.load.LoadStatistics;
import org.geraniumproxy.measure.load.RateChecks;
import org.geraniumproxy.measure.load.RequestRecord;
import org.geraniumproxy.measure.load.SessionChecks;

/** Runs one demo: load with a failover, then checks of the records and histories. */
final class DemoRun {
    private static final Duration LOAD_BEFORE_FAILURE = Duration.ofSeconds(6);

    /** Time that the old primary stays isolated after the promotion. */
    private static final Duration OUTAGE = Duration.ofSeconds(3);

    /** Time that the load continues after the old primary replicates again. */
    private static final Duration LOAD_AFTER_RECOVERY = Duration.ofSeconds(5);

    private static final long SEED = 1;

    private final RunningDeployment running;
    private final Clock clock;
    private final LoadRecorder customerRecorder = new LoadRecorder();
    private final LoadRecorder probeRecorder = new LoadRecorder();

    DemoRun(RunningDeployment running, Clock clock) {
        this.running = running;
        this.clock = clock;
    }

    DemoResult run() throws InterruptedException {
        String group = running.deployment().groups().getFirst();
        ObservedFailover failover;
        try (DemoLoad _ = DemoLoad.start(running, SEED, clock, customerRecorder);
                WriteProbe _ = WriteProbe.start(running, SEED, clock, probeRecorder)) {
            Thread.sleep(LOAD_BEFORE_FAILURE);
            failover = new FaultInjector(running.databases(), clock).failPrimary(group, FaultKind.ISOLATED, OUTAGE);
            Thread.sleep(LOAD_AFTER_RECOVERY);
        }
        return toResult(failover);
    }

    private DemoResult toResult(ObservedFailover failover) {
        List<RequestRecord> records = new ArrayList<>(customerRecorder.records());
        records.addAll(probeRecorder.records());
        List<DatabaseHistory> histories = running.databases().histories();
        List<GuaranteeViolation> violations = new ArrayList<>(SessionChecks.check(records));
        violations.addAll(HistoryChecks.check(
                records, histories, new HashSet<>(running.keys().values())));
        violations.addAll(RateChecks.check(records, allowances()));
        LoadStatistics allStatistics = LoadStatistics.of(records);
        LoadStatistics customerStatistics = LoadStatistics.of(customerRecorder.records());
        LoadStatistics statistics = new LoadStatistics(
                allStatistics.requests(),
                allStatistics.acknowledgedWrites(),
                allStatistics.unknownOutcomes(),
                allStatistics.refused(),
                allStatistics.replicaReads(),
                allStatistics.reads(),
                customerStatistics.customers(),
                customerStatistics.notRunReasons());
        return new DemoResult(
                statistics,
                FailoverGaps.of(List.of(failover), probeRecorder.records()).percentile(100),
                DemoLoad.excessiveCustomer(running.deployment()),
                HistoryChecks.lostWrites(records, histories).size(),
                violations,
                observations(histories));
    }

    private Map<String, Allowance> allowances() {
        Map<String, Allowance> allowances = new HashMap<>();
        for (Deployment.CustomerProfile customer : running.deployment().customers()) {
            allowances.put(customer.name(), new Allowance(customer.rate(), customer.burst()));
        }
        return allowances;
    }

    private List<String> observations(List<DatabaseHistory> histories) {
        List<String> observations = new ArrayList<>(running.endedProcesses());
        for (DatabaseHistory history : histories) {
            if (history.maximumSlots() > running.deployment().slots()) {
                observations.add(history.backendServer() + " ran " + history.maximumSlots() + " statements at once");
            }
            if (history.maximumConnections() > running.deployment().maximumConnections()) {
                observations.add(history.backendServer() + " had " + history.maximumConnections() + " connections");
            }
        }
        return observations;
    }
}
