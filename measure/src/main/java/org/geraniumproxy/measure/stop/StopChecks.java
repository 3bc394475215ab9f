package org.geraniumproxy.measure.stop;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.measure.process.Seconds;
import org.geraniumproxy.measure.stop.ClientRequest.Part;
import org.geraniumproxy.measure.stop.DatabaseEvent.Step;
import org.geraniumproxy.measure.stop.Finding.Kind;

/** Checks the record of a run against the rules LOST, REFUSED and TWICE and the promises about stops and starts. */
final class StopChecks {
    /** A node has surely read a request whose connection ends later than this after the last byte was sent. */
    private static final Duration LOSS_SLACK = Duration.ofMillis(200);

    /** Requests that are sent later than this after SIGTERM must be answered even if their database is slow. */
    private static final Duration LATE_REQUEST = Duration.ofSeconds(3);

    private static final Duration AFTER_GRACE = Duration.ofSeconds(1);

    private final RunRecord run;
    private final Duration grace;
    private final Map<String, List<DatabaseEvent>> eventsById;

    private StopChecks(RunRecord run, Duration grace) {
        this.run = run;
        this.grace = grace;
        this.eventsById = run.databaseEvents().stream().collect(Collectors.groupingBy(DatabaseEvent::id));
    }

    /**
     * Returns everything in a run that breaks a promise.
     *
     * @param run complete record of the run
     * @param grace time between SIGTERM and SIGKILL
     */
    static List<Finding> check(RunRecord run, Duration grace) {
        StopChecks checks = new StopChecks(run, grace);
        List<Finding> findings = new ArrayList<>();
        run.requests().forEach(request -> checks.lost(request).ifPresent(findings::add));
        checks.refused(findings);
        checks.twice(findings);
        checks.stops(findings);
        run.nodeFailures().forEach(failure -> findings.add(new Finding(Kind.NODE, failure)));
        return List.copyOf(findings);
    }

    private Optional<Finding> lost(ClientRequest request) {
        if (!(request.outcome() instanceof Outcome.Cut cut)) {
            return Optional.empty();
        }
        Optional<StopRecord> stop = stopAround(request);
        Duration waited = Duration.between(request.sent(), request.ended());
        boolean passedOn = has(request.id(), Step.RECEIVED);
        boolean isLost = passedOn || waited.compareTo(LOSS_SLACK) > 0;
        if (!isLost
                || waited.compareTo(request.timeout()) >= 0
                || stop.filter(s -> isExcepted(request, s)).isPresent()) {
            return Optional.empty();
        }
        Kind kind = stop.isEmpty() ? Kind.LOST_WITHOUT_STOP : passedOn ? Kind.LOST_PASSED_ON : Kind.LOST_READ;
        return Optional.of(new Finding(kind, describe(request, stop) + " part=" + request.part() + " " + cut.detail()));
    }

    private Optional<StopRecord> stopAround(ClientRequest request) {
        return run.stops().stream()
                .filter(stop -> stop.node().equals(request.node()))
                .filter(stop -> !request.ended().isBefore(stop.terminated()))
                .filter(stop ->
                        !request.sent().isAfter(stop.terminated().plus(grace).plus(AFTER_GRACE)))
                .max(Comparator.comparing(StopRecord::terminated));
    }

    private boolean isExcepted(ClientRequest request, StopRecord stop) {
        boolean isLateTransaction = request.part() == Part.INSIDE_TRANSACTION
                && request.ended().isAfter(stop.terminated().plus(grace.dividedBy(2)));
        boolean isEarly = !request.sent().isAfter(stop.terminated().plus(LATE_REQUEST));
        Instant graceEnd = stop.terminated().plus(grace);
        return isLateTransaction || (isEarly && isAtWork(request.id(), graceEnd.minus(grace.dividedBy(6)), graceEnd));
    }

    private boolean isAtWork(String id, Instant from, Instant to) {
        return at(id, Step.BEGUN).filter(begun -> begun.isBefore(to)).isPresent()
                && at(id, Step.ENDED).filter(ended -> ended.isBefore(from)).isEmpty();
    }

    private void refused(List<Finding> findings) {
        Set<String> refusedAttempts = new HashSet<>();
        run.requests().stream()
                .filter(request -> request.outcome() instanceof Outcome.Answered answer && answer.isPromise())
                .forEach(request -> refusedAttempts.add(request.attempt()));
        run.requests().stream()
                .filter(request -> refusedAttempts.contains(request.attempt()) && has(request.id(), Step.COMMITTED))
                .forEach(request ->
                        findings.add(new Finding(Kind.REFUSED, describe(request, stopAround(request)) + " committed")));
    }

    private void twice(List<Finding> findings) {
        run.requests().stream()
                .filter(request -> events(request.id(), Step.COMMITTED).size() > 1)
                .forEach(request -> findings.add(new Finding(Kind.TWICE, describe(request, stopAround(request)))));
    }

    private void stops(List<Finding> findings) {
        run.stops().stream()
                .filter(stop -> stop.killed() || stop.exitCode() != 0)
                .forEach(stop -> findings.add(new Finding(
                        Kind.STOP,
                        "node=" + stop.node() + " exit code=" + stop.exitCode() + " killed=" + stop.killed()
                                + " duration=" + Seconds.format(stop.duration()))));
    }

    private String describe(ClientRequest request, Optional<StopRecord> stop) {
        Instant origin = stop.map(StopRecord::terminated).orElse(request.sent());
        String steps = eventsById.getOrDefault(request.id(), List.of()).stream()
                .map(event -> event.database() + "/" + event.connection() + " " + event.step() + " "
                        + Seconds.between(origin, event.at()))
                .collect(Collectors.joining(", "));
        return "request=" + request.id() + " node=" + request.node() + " sent="
                + Seconds.between(origin, request.sent()) + " ended=" + Seconds.between(origin, request.ended())
                + stop.map(s -> " process ended=" + Seconds.format(s.duration()) + (run.isCalm(s) ? " calm" : ""))
                        .orElse(" no SIGTERM")
                + " database=[" + steps + "]";
    }

    private boolean has(String id, Step step) {
        return !events(id, step).isEmpty();
    }

    private Optional<Instant> at(String id, Step step) {
        return events(id, step).stream().map(DatabaseEvent::at).findFirst();
    }

    private List<DatabaseEvent> events(String id, Step step) {
        return eventsById.getOrDefault(id, List.of()).stream()
                .filter(event -> event.step() == step)
                .toList();
    }
}
