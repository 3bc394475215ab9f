package org.geraniumproxy.measure.failover;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import org.geraniumproxy.measure.bench.Deployment;
import org.geraniumproxy.measure.bench.DeploymentException;
import org.geraniumproxy.measure.bench.RunningDeployment;
import org.geraniumproxy.measure.figures.PartReport;
import org.geraniumproxy.measure.figures.PolicyMetrics;
import org.geraniumproxy.measure.load.GuaranteeViolation;
import org.geraniumproxy.measure.load.HistoryChecks;
import org.geraniumproxy.measure.load.LoadRecorder;
import org.geraniumproxy.measure.load.LoadStatistics;
import org.geraniumproxy.measure.load.RequestRecord;
import org.geraniumproxy.measure.load.SessionChecks;

/** Measures failovers in real time, with adaptive failure detection and, as the baseline, with a fixed timeout. */
public final class FailoverMeasurement {
    /** Minimum number of failovers that the targets require. */
    private static final int FAILOVERS = 20;

    /** Baseline: time without a reply after which a primary is suspected to have failed. */
    private static final Duration FIXED_DETECTION_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration WORST_GAP_TARGET = Duration.ofSeconds(12);

    /** Target at the current deployment sizes. */
    private static final Duration MEDIAN_GAP_TARGET = Duration.ofSeconds(2);

    private static final Duration WARM_UP = Duration.ofSeconds(3);
    private static final Duration MINIMUM_PAUSE = Duration.ofMillis(500);
    private static final Duration MAXIMUM_PAUSE = Duration.ofMillis(1500);

    private final Deployment deployment;
    private final long seed;
    private final Clock clock;

    private FailoverMeasurement(Deployment deployment, long seed, Clock clock) {
        this.deployment = deployment;
        this.seed = seed;
        this.clock = clock;
    }

    /** Metrics, gaps and findings of one policy. */
    private record PolicyRun(PolicyMetrics metrics, FailoverGaps gaps, List<String> findings) {}

    /**
     * Creates a measurement; {@link #run()} starts it.
     *
     * @param deployment sizes and names of the deployment to start
     * @param seed determines the faults, the pauses and the proxies that writers choose
     * @return the measurement
     */
    public static FailoverMeasurement of(Deployment deployment, long seed) {
        return new FailoverMeasurement(deployment, seed, Clock.systemUTC());
    }

    /**
     * Runs both policies, each on a new deployment and with the same sequence of faults.
     *
     * @return metrics of both policies, violated guarantees and missed targets
     * @throws DeploymentException if a deployment does not start or a failover does not complete
     * @throws InterruptedException if the thread is interrupted
     */
    public PartReport run() throws InterruptedException {
        PolicyRun adaptive = run("adaptive detection", Optional.empty());
        PolicyRun fixed = run(
                "fixed detection timeout of " + FIXED_DETECTION_TIMEOUT.toMillis() + " ms",
                Optional.of(FIXED_DETECTION_TIMEOUT));
        List<String> findings = new ArrayList<>(adaptive.findings());
        findMissedTarget("median", adaptive.gaps().percentile(50), MEDIAN_GAP_TARGET)
                .ifPresent(findings::add);
        findMissedTarget("worst", adaptive.gaps().percentile(100), WORST_GAP_TARGET)
                .ifPresent(findings::add);
        findings.addAll(fixed.findings());
        return new PartReport("failover", List.of(adaptive.metrics(), fixed.metrics()), findings);
    }

    private PolicyRun run(String policy, Optional<Duration> detectionTimeout) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        LoadRecorder recorder = new LoadRecorder();
        List<ObservedFailover> events = new ArrayList<>();
        try (RunningDeployment running = RunningDeployment.start(deployment, detectionTimeout)) {
            try (WriteProbe _ = WriteProbe.start(running, seed, clock, recorder)) {
                Thread.sleep(WARM_UP);
                FaultInjector injector = new FaultInjector(running.databases(), clock);
                for (int number = 0; number < FAILOVERS; number++) {
                    events.add(causeFailover(injector, number, random));
                }
                Thread.sleep(WARM_UP);
            }
            return toPolicyRun(policy, detectionTimeout.isPresent(), running, events, recorder.records());
        }
    }

    private ObservedFailover causeFailover(FaultInjector injector, int number, SplittableRandom random)
            throws InterruptedException {
        String group = deployment.groups().get(number % deployment.groups().size());
        FaultKind kind = random.nextBoolean() ? FaultKind.ISOLATED : FaultKind.DOWN;
        ObservedFailover event = injector.failPrimary(group, kind, randomPause(random));
        Thread.sleep(randomPause(random));
        return event;
    }

    private static Duration randomPause(SplittableRandom random) {
        return Duration.ofMillis(random.nextLong(MINIMUM_PAUSE.toMillis(), MAXIMUM_PAUSE.toMillis()));
    }

    private static PolicyRun toPolicyRun(
            String policy,
            boolean baseline,
            RunningDeployment running,
            List<ObservedFailover> events,
            List<RequestRecord> records) {
        FailoverGaps gaps = FailoverGaps.of(events, records);
        List<GuaranteeViolation> violations = new ArrayList<>(SessionChecks.check(records));
        violations.addAll(HistoryChecks.check(
                records,
                running.databases().histories(),
                new HashSet<>(running.keys().values())));
        List<String> findings = new ArrayList<>(running.endedProcesses());
        violations.forEach(violation -> findings.add(policy + ": " + violation));
        if (gaps.failoversWithoutWrite() > 0) {
            findings.add(policy + ": no write was acknowledged after " + gaps.failoversWithoutWrite() + " failovers");
        }
        return new PolicyRun(new PolicyMetrics(policy, baseline, metrics(gaps, records, violations)), gaps, findings);
    }

    private static Map<String, Double> metrics(
            FailoverGaps gaps, List<RequestRecord> records, List<GuaranteeViolation> violations) {
        LoadStatistics load = LoadStatistics.of(records);
        Map<String, Double> metrics = new LinkedHashMap<>();
        metrics.put("failovers", (double) gaps.gaps().size());
        addPercentiles(metrics, "gap", gaps, FailoverGaps.Gap::total);
        addPercentiles(metrics, "detection", gaps, FailoverGaps.Gap::detection);
        addPercentiles(metrics, "agreement", gaps, FailoverGaps.Gap::agreement);
        addPercentiles(metrics, "fencing", gaps, FailoverGaps.Gap::fencing);
        addPercentiles(metrics, "catching-up", gaps, FailoverGaps.Gap::catchingUp);
        addPercentiles(metrics, "learning", gaps, FailoverGaps.Gap::learning);
        metrics.put("writes", (double) load.requests());
        metrics.put("acknowledged-writes", (double) load.acknowledgedWrites());
        metrics.put("unknown-outcomes", (double) load.unknownOutcomes());
        metrics.put("broken-invariants", (double) violations.size());
        return metrics;
    }

    private static void addPercentiles(
            Map<String, Double> metrics,
            String name,
            FailoverGaps gaps,
            Function<FailoverGaps.Gap, Duration> duration) {
        addMillis(metrics, name + "-median-millis", gaps.percentile(50, duration));
        addMillis(metrics, name + "-99th-percentile-millis", gaps.percentile(99, duration));
        addMillis(metrics, name + "-worst-millis", gaps.percentile(100, duration));
    }

    private static void addMillis(Map<String, Double> metrics, String name, Optional<Duration> value) {
        value.ifPresent(duration -> metrics.put(name, (double) duration.toMillis()));
    }

    private static Optional<String> findMissedTarget(String name, Optional<Duration> gap, Duration target) {
        return gap.filter(value -> value.compareTo(target) > 0)
                .map(value -> "target missed: " + name + " gap " + value.toMillis() + " ms, target " + target.toMillis()
                        + " ms");
    }
}
