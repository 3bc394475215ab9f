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
 * The fair queue against first come, first served, with one neighbour at eight times its rate. Real core decisions on
 * simulated time.
 */
public final class FairnessReport {
    /** The stated target for the worst-served customer. */
    private static final double TARGET_SERVED_SHARE = 0.95;

    private FairnessReport() {}

    /**
     * Runs the measurement.
     *
     * @param deployment slots and connections
     * @param seed seed of the runs
     * @return the figures
     */
    public static PartReport run(SimulatedDeployment deployment, long seed) {
        List<PolicyMetrics> policies = new ArrayList<>();
        List<String> findings = new ArrayList<>();
        FairnessResult fair = FairnessRun.run(deployment, seed, new QueuePolicy.WeightedFair());
        policies.add(new PolicyMetrics("weighted fair queue", false, figures(fair)));
        FairnessResult inOrder = FairnessRun.run(deployment, seed, new QueuePolicy.FirstComeFirstServed());
        policies.add(new PolicyMetrics("first come, first served", true, figures(inOrder)));
        if (fair.worstServedShare() < TARGET_SERVED_SHARE) {
            findings.add("the worst-served customer gets less than 95% of its entitlement");
        }
        return new PartReport(
                "fairness: real core decisions on simulated time, one neighbour at eight times its rate",
                policies,
                findings);
    }

    private static Map<String, Double> figures(FairnessResult result) {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("worst served, percent", 100 * result.worstServedShare());
        figures.put("its latency, 99th percentile, ms", result.worstLatencyMillis99());
        figures.put("neighbour served, percent", 100 * result.neighbourServedShare());
        figures.put("slot time in use, percent", 100 * result.usedCapacity());
        return figures;
    }
}
