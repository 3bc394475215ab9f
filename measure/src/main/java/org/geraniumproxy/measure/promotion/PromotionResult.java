package org.geraniumproxy.measure.promotion;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.geraniumproxy.measure.process.Seconds;

/**
 * Result of a run.
 *
 * @param seed seed of the run
 * @param scenario what was replaced, and how
 * @param promotions promotions that took effect
 * @param gaps time of each replacement from the departure of the primary to the first acknowledged commit afterwards
 * @param failures replacements that didn't take place, and nodes that failed
 * @param outcomes requests of the clients by outcome
 * @param folder folder with the logs of the nodes
 */
record PromotionResult(
        long seed,
        Scenario.Name scenario,
        List<Promotion> promotions,
        List<Duration> gaps,
        List<String> failures,
        Map<String, Long> outcomes,
        Path folder) {
    PromotionResult {
        promotions = List.copyOf(promotions);
        gaps = gaps.stream().sorted().toList();
        failures = List.copyOf(failures);
    }

    /** Returns one line for each promotion that lost commits and for each failure. */
    List<String> findings() {
        List<String> findings = new ArrayList<>(promotions.stream()
                .filter(promotion -> !promotion.lost().isEmpty())
                .map(Promotion::describeLoss)
                .toList());
        findings.addAll(failures);
        return findings;
    }

    /** Returns one line for the run and one for each finding. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("seed " + seed + ": " + scenario + " promotions=" + promotions.size() + " gaps=" + describe(gaps)
                + " requests=" + outcomes + " findings=" + findings().size());
        findings().forEach(finding -> lines.add("seed " + seed + ": " + finding + " logs=" + folder));
        return lines;
    }

    /** Describes durations in ascending order by their number, median and maximum in seconds. */
    static String describe(List<Duration> sorted) {
        return sorted.isEmpty()
                ? "0"
                : sorted.size() + " median " + Seconds.format(sorted.get(sorted.size() / 2)) + " worst "
                        + Seconds.format(sorted.getLast());
    }
}
