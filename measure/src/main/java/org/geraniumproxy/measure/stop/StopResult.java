package org.geraniumproxy.measure.stop;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.geraniumproxy.measure.process.Seconds;

/**
 * Result of a run.
 *
 * @param seed seed of the run
 * @param run what was seen
 * @param findings broken promises
 * @param folder folder with the logs of the nodes
 */
record StopResult(long seed, RunRecord run, List<Finding> findings, Path folder) {
    StopResult {
        findings = List.copyOf(findings);
    }

    /** Returns one line for the run and one for each finding. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("seed " + seed + ": " + summary(List.of(this)));
        findings.forEach(finding -> lines.add("seed " + seed + ": " + finding + " logs=" + folder));
        return lines;
    }

    /** Returns the figures of some runs in one line. Durations of stops are minimum/median/maximum in seconds. */
    static String summary(List<StopResult> results) {
        List<RunRecord> runs = results.stream().map(StopResult::run).toList();
        List<ClientRequest> requests =
                runs.stream().flatMap(run -> run.requests().stream()).toList();
        List<Duration> all = runs.stream()
                .flatMap(run -> run.stops().stream())
                .map(StopRecord::duration)
                .sorted()
                .toList();
        List<Duration> calm = runs.stream()
                .flatMap(run -> run.stops().stream().filter(run::isCalm))
                .map(StopRecord::duration)
                .sorted()
                .toList();
        TreeMap<Finding.Kind, Long> kinds = results.stream()
                .flatMap(result -> result.findings().stream())
                .collect(Collectors.groupingBy(Finding::kind, TreeMap::new, Collectors.counting()));
        return "stops=" + all.size() + " " + spread(all) + " calm=" + calm.size() + " " + spread(calm) + " requests="
                + requests.size() + " answered=" + count(requests, Outcome.Answered.class) + " successful="
                + requests.stream()
                        .filter(request -> request.outcome() instanceof Outcome.Answered answer && answer.isSuccess())
                        .count()
                + " errors=" + errors(requests) + " cut=" + count(requests, Outcome.Cut.class) + " silent="
                + count(requests, Outcome.Silent.class)
                + " routed out of rotation="
                + runs.stream().mapToLong(RunRecord::outOfRotation).sum() + " findings=" + kinds;
    }

    private static TreeMap<String, Long> errors(List<ClientRequest> requests) {
        return requests.stream()
                .map(request -> request.outcome() instanceof Outcome.Answered answer ? answer.errorCode() : "")
                .filter(code -> !code.isEmpty())
                .collect(Collectors.groupingBy(code -> code, TreeMap::new, Collectors.counting()));
    }

    private static long count(List<ClientRequest> requests, Class<? extends Outcome> outcome) {
        return requests.stream()
                .filter(request -> outcome.isInstance(request.outcome()))
                .count();
    }

    private static String spread(List<Duration> sorted) {
        return sorted.isEmpty()
                ? "-"
                : Seconds.format(sorted.getFirst()) + "/" + Seconds.format(sorted.get(sorted.size() / 2)) + "/"
                        + Seconds.format(sorted.getLast());
    }
}
