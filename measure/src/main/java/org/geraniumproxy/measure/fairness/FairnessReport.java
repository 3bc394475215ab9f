package org.geraniumproxy.measure.fairness;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.core.pool.QueuePolicy;
import org.geraniumproxy.measure.figures.PartReport;
import org.geraniumproxy.measure.figures.PolicyMetrics;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;

/**
 * Compares the weighted fair queue with first come, first served while a noisy neighbour sends eight times its rate.
 * The production queue decides, on simulated time.
 */
public final class FairnessReport {
    /** Target: every customer gets at least 95% of its entitlement. */
    private static final double TARGET_SERVED_SHARE = 0.95;

    private FairnessReport() {}

    /**
     * Runs the measurement.
     *
     * @param deployment number of slots and connections
     * @param seed seed of the runs
     * @return metrics and missed targets of both policies
     */
    public static PartReport run(SimulatedDeployment deployment, long seed) {
        List<PolicyMetrics> policies = new ArrayList<>();
        List<String> findings = new ArrayList<>();
        FairnessResult weightedFair = FairnessRun.run(deployment, seed, new QueuePolicy.WeightedFair());
        policies.add(new PolicyMetrics("weighted fair queue", false, metrics(weightedFair)));
        FairnessResult firstComeFirstServed = FairnessRun.run(deployment, seed, new QueuePolicy.FirstComeFirstServed());
        policies.add(new PolicyMetrics("first come, first served", true, metrics(firstComeFirstServed)));
        if (weightedFair.worstServedShare() < TARGET_SERVED_SHARE) {
            findings.add("the worst-served customer gets less than 95% of its entitlement");
        }
        return new PartReport(
                "fairness: real core decisions on simulated time, one neighbour at eight times its rate",
                policies,
                findings);
    }

    private static Map<String, Double> metrics(FairnessResult result) {
        Map<String, Double> metrics = new LinkedHashMap<>();
        metrics.put("worst served, percent", 100 * result.worstServedShare());
        metrics.put("its latency, 99th percentile, ms", result.worstLatencyMillisPercentile99());
        metrics.put("neighbour served, percent", 100 * result.neighbourServedShare());
        metrics.put("slot time in use, percent", 100 * result.slotUtilization());
        return metrics;
    }
}
