package org.geraniumproxy.measure.demo;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.geraniumproxy.measure.load.GuaranteeViolation;
import org.geraniumproxy.measure.load.LoadStatistics;

/**
 * Result of a demo.
 *
 * @param statistics statistics of all requests
 * @param failoverGap time without acknowledged writes during the failover, empty if none was acknowledged after it
 * @param excessiveCustomer name of the customer that exceeded its rate
 * @param lostWrites number of acknowledged writes that were lost
 * @param violations violations of guarantees
 * @param observations other faults, such as processes that ended or exceeded limits of a database
 */
record DemoResult(
        LoadStatistics statistics,
        Optional<Duration> failoverGap,
        String excessiveCustomer,
        int lostWrites,
        List<GuaranteeViolation> violations,
        List<String> observations) {
    private static final int MAXIMUM_PRINTED_VIOLATIONS = 20;

    boolean isSuccessful() {
        return lostWrites == 0 && violations.isEmpty() && failoverGap.isPresent() && observations.isEmpty();
    }

    String toText() {
        StringBuilder text = new StringBuilder();
        appendLine(text, "replica share of reads: %.1f%% of %d", 100 * statistics.replicaShare(), statistics.reads());
        appendLine(
                text,
                "failover gap: %s",
                failoverGap.map(gap -> gap.toMillis() + " ms").orElse("no write after the failover"));
        worstServed()
                .ifPresent(worst -> appendLine(
                        text,
                        "worst-served customer: %s with %.2f%% of its requests, 99th percentile %d ms",
                        worst.getKey(),
                        100 * worst.getValue().servedShare(),
                        worst.getValue().latencyPercentile99().toMillis()));
        appendLine(text, "refused within the rate: %.3f%% (%d requests)", 100 * refusedShare(), refusedWithinRate());
        appendLine(
                text,
                "customer above its rate: %s, %s",
                excessiveCustomer,
                Optional.ofNullable(statistics.customers().get(excessiveCustomer))
                        .map(own -> own.answered() + " of " + own.requests() + " requests answered")
                        .orElse("no requests"));
        appendLine(text, "not run, by reason: %s", statistics.notRunReasons());
        appendLine(text, "unknown outcomes: %d", statistics.unknownOutcomes());
        violations.stream()
                .limit(MAXIMUM_PRINTED_VIOLATIONS)
                .forEach(violation -> appendLine(text, "broken: %s", violation));
        observations.forEach(observation -> appendLine(text, "observed: %s", observation));
        appendLine(
                text,
                "demo: %d requests, %d acknowledged writes, %d lost, %d invariants broken",
                statistics.requests(),
                statistics.acknowledgedWrites(),
                lostWrites,
                violations.size());
        return text.toString();
    }

    private Optional<Map.Entry<String, LoadStatistics.CustomerStatistics>> worstServed() {
        return statistics.customers().entrySet().stream()
                .filter(entry -> !entry.getKey().equals(excessiveCustomer))
                .min((left, right) -> Double.compare(
                        left.getValue().servedShare(), right.getValue().servedShare()));
    }

    private long refusedWithinRate() {
        return customersWithinRate()
                .mapToLong(LoadStatistics.CustomerStatistics::refused)
                .sum();
    }

    private double refusedShare() {
        long requests = customersWithinRate()
                .mapToLong(LoadStatistics.CustomerStatistics::requests)
                .sum();
        return requests == 0 ? 0 : (double) refusedWithinRate() / requests;
    }

    private Stream<LoadStatistics.CustomerStatistics> customersWithinRate() {
        return statistics.customers().entrySet().stream()
                .filter(entry -> !entry.getKey().equals(excessiveCustomer))
                .map(Map.Entry::getValue);
    }

    private static void appendLine(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }
}
