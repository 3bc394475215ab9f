package org.geraniumproxy.measure.limit;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.geraniumproxy.measure.figures.PartReport;
import org.geraniumproxy.measure.figures.PolicyMetrics;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;

/**
 * Compares token lending with static shares while one VM gets half of the traffic at 95% of the rate. Refusals are
 * compared with those of a centralized bucket for the same arrivals. The production limit decides, on simulated time.
 */
public final class LimitsReport {
    /** Target: fewer than 0.1% of the requests are wrongly refused. */
    private static final double TARGET_WRONGLY_REFUSED_SHARE = 0.001;

    private static final int REPETITIONS = 5;

    /** Rate and burst of a customer. */
    private record CustomerProfile(String name, double ratePerSecond, int burst) {}

    private static final CustomerProfile LARGE = new CustomerProfile("large customer (200/s, burst 50)", 200, 50);
    private static final CustomerProfile SMALL = new CustomerProfile("small customer (40/s, burst 20)", 40, 20);

    private LimitsReport() {}

    /**
     * Runs the measurement.
     *
     * @param deployment VMs and network latencies
     * @param seed seed of the first of five runs; each further run adds one
     * @return metrics and missed targets of both policies
     */
    public static PartReport run(SimulatedDeployment deployment, long seed) {
        List<PolicyMetrics> policies = new ArrayList<>();
        List<String> findings = new ArrayList<>();
        for (CustomerProfile profile : List.of(LARGE, SMALL)) {
            for (boolean lending : List.of(true, false)) {
                List<LimitResult> results = results(deployment, seed, profile, lending);
                String policy = (lending ? "lending, " : "static shares, ") + profile.name();
                policies.add(new PolicyMetrics(policy, !lending, metrics(results)));
                if (lending) {
                    addFindings(policy, results, findings);
                }
            }
        }
        return new PartReport(
                "limits: real core decisions on simulated time, one VM gets half of the traffic at 95% of the rate",
                policies, findings);
    }

    private static List<LimitResult> results(
            SimulatedDeployment deployment, long seed, CustomerProfile profile, boolean lending) {
        List<LimitResult> results = new ArrayList<>();
        for (long repetition = 0; repetition < REPETITIONS; repetition++) {
            results.add(LimitRun.run(LimitScenario.withUnevenLoad(
                    deployment, seed + repetition, profile.ratePerSecond(), profile.burst(), lending)));
        }
        return results;
    }

    private static Map<String, Double> metrics(List<LimitResult> results) {
        Map<String, Double> metrics = new LinkedHashMap<>();
        double requests = sum(results, LimitResult::requests);
        metrics.put("requests", requests);
        metrics.put("wrongly refused, percent", 100 * sum(results, LimitResult::wronglyRefused) / requests);
        metrics.put("refused, percent", 100 * sum(results, LimitResult::refused) / requests);
        metrics.put("refused by one bucket, percent", 100 * sum(results, LimitResult::refusedByReference) / requests);
        metrics.put("largest overrun, tokens", maximum(results, LimitResult::maximumOverrun));
        metrics.put("decision, 99th percentile, ms", maximum(results, LimitResult::waitMillisPercentile99));
        metrics.put("messages per request", sum(results, LimitResult::messages) / requests);
        return metrics;
    }

    private static void addFindings(String policy, List<LimitResult> results, List<String> findings) {
        double share = sum(results, LimitResult::wronglyRefused) / sum(results, LimitResult::requests);
        if (share >= TARGET_WRONGLY_REFUSED_SHARE) {
            findings.add(policy + ": wrongly refused requests miss the target of 0.1%");
        }
        if (maximum(results, LimitResult::maximumOverrun) > 0) {
            findings.add(policy + ": rate and burst were exceeded");
        }
    }

    private static double sum(List<LimitResult> results, ToDoubleFunction<LimitResult> metric) {
        return results.stream().mapToDouble(metric).sum();
    }

    private static double maximum(List<LimitResult> results, ToDoubleFunction<LimitResult> metric) {
        return results.stream().mapToDouble(metric).max().orElse(0);
    }
}
