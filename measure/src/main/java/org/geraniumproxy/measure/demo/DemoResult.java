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
 * What a demo showed.
 *
 * @param figures figures of the load
 * @param failoverGap gap of the failover, empty if no write was acknowledged after it
 * @param excessiveCustomer the customer that sent more than its rate
 * @param lostWrites acknowledged writes that were lost
 * @param broken broken invariants
 * @param observations what else went wrong, such as processes that ended
 */
record DemoResult(
        LoadStatistics figures,
        Optional<Duration> failoverGap,
        String excessiveCustomer,
        int lostWrites,
        List<GuaranteeViolation> broken,
        List<String> observations) {
    /** Broken invariants that are printed in full. */
    private static final int PRINTED_INVARIANTS = 20;

    boolean isSound() {
        return lostWrites == 0 && broken.isEmpty() && failoverGap.isPresent() && observations.isEmpty();
    }

    String text() {
        StringBuilder text = new StringBuilder();
        line(text, "replica share of reads: %.1f%% of %d", 100 * figures.replicaShare(), figures.reads());
        line(
                text,
                "failover gap: %s",
                failoverGap.map(gap -> gap.toMillis() + " ms").orElse("no write after the failover"));
        worstServed()
                .ifPresent(worst -> line(
                        text,
                        "worst-served customer: %s with %.2f%% of its requests, 99th percentile %d ms",
                        worst.getKey(),
                        100 * worst.getValue().servedShare(),
                        worst.getValue().latencyPercentile99().toMillis()));
        line(text, "refused within the rate: %.3f%% (%d requests)", 100 * refusedShare(), refusedWithinRate());
        line(
                text,
                "customer above its rate: %s, %s",
                excessiveCustomer,
                Optional.ofNullable(figures.customers().get(excessiveCustomer))
                        .map(own -> own.answered() + " of " + own.requests() + " requests answered")
                        .orElse("no requests"));
        line(text, "not run, by reason: %s", figures.notRunReasons());
        line(text, "unknown outcomes: %d", figures.unknownOutcomes());
        broken.stream().limit(PRINTED_INVARIANTS).forEach(invariant -> line(text, "broken: %s", invariant));
        observations.forEach(observation -> line(text, "observed: %s", observation));
        line(
                text,
                "demo: %d requests, %d acknowledged writes, %d lost, %d invariants broken",
                figures.requests(),
                figures.acknowledgedWrites(),
                lostWrites,
                broken.size());
        return text.toString();
    }

    private Optional<Map.Entry<String, LoadStatistics.CustomerStatistics>> worstServed() {
        return figures.customers().entrySet().stream()
                .filter(entry -> !entry.getKey().equals(excessiveCustomer))
                .min((left, right) -> Double.compare(
                        left.getValue().servedShare(), right.getValue().servedShare()));
    }

    private long refusedWithinRate() {
        return withinRate().mapToLong(LoadStatistics.CustomerStatistics::refused).sum();
    }

    private double refusedShare() {
        long requests =
                withinRate().mapToLong(LoadStatistics.CustomerStatistics::requests).sum();
        return requests == 0 ? 0 : (double) refusedWithinRate() / requests;
    }

    private Stream<LoadStatistics.CustomerStatistics> withinRate() {
        return figures.customers().entrySet().stream()
                .filter(entry -> !entry.getKey().equals(excessiveCustomer))
                .map(Map.Entry::getValue);
    }

    private static void line(StringBuilder text, String format, Object... arguments) {
        text.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }
}
