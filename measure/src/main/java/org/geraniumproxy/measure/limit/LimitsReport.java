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
 * Lending against static shares: one VM gets half of the traffic at 95% of the rate, and the refusals are compared with
 * those of one ideal bucket on the same arrivals. Real core decisions on simulated time.
 */
public final class LimitsReport {
    /** The stated target for wrongly refused requests. */
    private static final double TARGET_WRONGLY_REFUSED = 0.001;

    private static final int REPETITIONS = 5;

    /** A customer's allowance. */
    private record Allowance(String name, double ratePerSecond, int burst) {}

    private static final Allowance LARGE = new Allowance("large customer (200/s, burst 50)", 200, 50);
    private static final Allowance SMALL = new Allowance("small customer (40/s, burst 20)", 40, 20);

    private LimitsReport() {}

    /**
     * Runs the measurement.
     *
     * @param deployment latencies and VMs
     * @param seed seed of the first of five runs
     * @return the figures
     */
    public static PartReport run(SimulatedDeployment deployment, long seed) {
        List<PolicyMetrics> policies = new ArrayList<>();
        List<String> findings = new ArrayList<>();
        for (Allowance allowance : List.of(LARGE, SMALL)) {
            for (boolean lending : List.of(true, false)) {
                List<LimitResult> results = results(deployment, seed, allowance, lending);
                String policy = (lending ? "lending, " : "static shares, ") + allowance.name();
                policies.add(new PolicyMetrics(policy, !lending, figures(results)));
                if (lending) {
                    check(policy, results, findings);
                }
            }
        }
        return new PartReport(
                "limits: real core decisions on simulated time, one VM gets half of the traffic at 95% of the rate",
                policies, findings);
    }

    private static List<LimitResult> results(SimulatedDeployment deployment, long seed, Allowance allowance, boolean lending) {
        List<LimitResult> results = new ArrayList<>();
        for (long repetition = 0; repetition < REPETITIONS; repetition++) {
            results.add(LimitRun.run(LimitScenario.uneven(
                    deployment, seed + repetition, allowance.ratePerSecond(), allowance.burst(), lending)));
        }
        return results;
    }

    private static Map<String, Double> figures(List<LimitResult> results) {
        Map<String, Double> figures = new LinkedHashMap<>();
        double requests = sum(results, LimitResult::requests);
        figures.put("requests", requests);
        figures.put("wrongly refused, percent", 100 * sum(results, LimitResult::wronglyRefused) / requests);
        figures.put("refused, percent", 100 * sum(results, LimitResult::refused) / requests);
        figures.put("refused by one bucket, percent", 100 * sum(results, LimitResult::refusedByIdeal) / requests);
        figures.put("largest overrun, tokens", largest(results, LimitResult::largestOverrun));
        figures.put("decision, 99th percentile, ms", largest(results, LimitResult::waitMillis99));
        figures.put("messages per request", sum(results, LimitResult::messages) / requests);
        return figures;
    }

    private static void check(String policy, List<LimitResult> results, List<String> findings) {
        double share = sum(results, LimitResult::wronglyRefused) / sum(results, LimitResult::requests);
        if (share >= TARGET_WRONGLY_REFUSED) {
            findings.add(policy + ": wrongly refused requests miss the target of 0.1%");
        }
        if (largest(results, LimitResult::largestOverrun) > 0) {
            findings.add(policy + ": rate and burst were exceeded");
        }
    }

    private static double sum(List<LimitResult> results, ToDoubleFunction<LimitResult> figure) {
        return results.stream().mapToDouble(figure).sum();
    }

    private static double largest(List<LimitResult> results, ToDoubleFunction<LimitResult> figure) {
        return results.stream().mapToDouble(figure).max().orElse(0);
    }
}
