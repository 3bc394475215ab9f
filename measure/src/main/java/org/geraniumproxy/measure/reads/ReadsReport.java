package org.geraniumproxy.measure.reads;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.measure.figures.PartReport;
import org.geraniumproxy.measure.figures.PolicyMetrics;
import org.geraniumproxy.measure.simulation.SimulatedDeployment;

/**
 * Compares the read placement of the proxy with reading everything from the primary and with reading from a random
 * replica, at three replication lags. The production read placement decides, on simulated time.
 */
public final class ReadsReport {
    /** Target: at typical lag, replicas serve more than 90% of the reads that they may serve. */
    private static final double TARGET_REPLICA_SHARE = 0.90;

    private static final Duration TYPICAL_LAG = Duration.ofMillis(20);
    private static final List<Duration> LAGS = List.of(Duration.ZERO, TYPICAL_LAG, Duration.ofMillis(500));

    private ReadsReport() {}

    /**
     * Runs the measurement.
     *
     * @param deployment network latencies between the coordinator and the databases
     * @param seed seed of the runs
     * @return metrics of every policy and lag, and missed targets
     */
    public static PartReport run(SimulatedDeployment deployment, long seed) {
        List<PolicyMetrics> policies = new ArrayList<>();
        List<String> findings = new ArrayList<>();
        for (Duration lag : LAGS) {
            String suffix = ", lag " + lag.toMillis() + " ms";
            ReadResult proxyResult = ReadRun.run(deployment, new ReadPolicy.ProxyPlacement(), lag, seed);
            policies.add(metrics("replica placement" + suffix, false, proxyResult));
            policies.add(metrics(
                    "all at the primary" + suffix,
                    true,
                    ReadRun.run(deployment, new ReadPolicy.AllAtPrimary(), lag, seed)));
            policies.add(metrics(
                    "random replica, checked afterwards" + suffix,
                    true,
                    ReadRun.run(deployment, new ReadPolicy.RandomReplica(), lag, seed)));
            if (proxyResult.stale() > 0) {
                findings.add("stale answers at lag " + lag.toMillis() + " ms");
            }
            if (lag.equals(TYPICAL_LAG) && share(proxyResult.servedByReplica(), proxyResult) <= TARGET_REPLICA_SHARE) {
                findings.add("replicas serve no more than 90% of the reads at typical lag");
            }
        }
        return new PartReport(
                "reads: real core decisions on simulated time, accepted age 2 s, a quarter of the sessions also writes",
                policies,
                findings);
    }

    private static PolicyMetrics metrics(String policy, boolean baseline, ReadResult result) {
        Map<String, Double> metrics = new LinkedHashMap<>();
        metrics.put("reads", (double) result.reads());
        metrics.put("served by replicas, percent", 100 * share(result.servedByReplica(), result));
        metrics.put(
                "of sessions that write, percent",
                100.0 * result.servedByReplicaOfWritingSessions() / Math.max(1, result.readsOfWritingSessions()));
        metrics.put("run twice, percent", 100 * share(result.repeated(), result));
        metrics.put("waited for a replica, percent", 100 * share(result.waited(), result));
        metrics.put("stale answers", (double) result.stale());
        return new PolicyMetrics(policy, baseline, metrics);
    }

    private static double share(long part, ReadResult result) {
        return result.reads() == 0 ? 0 : (double) part / result.reads();
    }
}
