package org.geraniumproxy.core.failover;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/** Derives the view of a group from the status reports of its databases. */
final class GroupViewUpdate {
    private GroupViewUpdate() {}

    /** Recomputes the view after a status report has changed. */
    static GroupState refresh(GroupState state, Instant now) {
        Map<BackendServerName, BackendStatus> statuses = newestStatuses(state);
        GroupView previous = state.view();
        Term term = statuses.values().stream()
                .map(BackendStatus::replicatingTerm)
                .reduce(previous.term(), (first, second) -> second.isAfter(first) ? second : first);
        boolean sameTerm = term.equals(previous.term());
        Optional<BackendServerName> primary = currentPrimary(state, statuses, term);
        Optional<BackendStatus> primaryReport = primary.map(statuses::get).filter(status -> isPrimaryOf(status, term));
        List<TermStart> termStarts = mergeTermStarts(
                previous.termStarts(),
                primaryReport.map(BackendStatus::termStarts).orElse(List.of()));
        List<PositionSample> pending = sameTerm ? state.unconfirmedSamples() : List.of();
        if (primaryReport.isPresent()) {
            pending = PositionSamples.add(
                    pending,
                    new PositionSample(
                            primaryReport.get().requestSentAt(),
                            primaryReport.get().position()));
        }
        Instant confirmedUntil = confirmedUntil(state, statuses, term);
        List<PositionSample> samples = sameTerm ? previous.samples() : List.of();
        List<PositionSample> remaining = new ArrayList<>();
        for (PositionSample sample : pending) {
            if (sample.requestSentAt().isAfter(confirmedUntil)) {
                remaining.add(sample);
            } else {
                samples = PositionSamples.add(samples, sample);
            }
        }
        GroupView view = new GroupView(previous.group(), term, primary, statuses, samples, termStarts);
        return state.withView(view, remaining, sameTerm ? state.lastPromotionAt() : Optional.of(now));
    }

    /** Applies the result of this VM's own promotion before the new primary has reported. */
    static GroupState applyPromotion(GroupState state, BackendStatus chosen, TermStart start, Instant now) {
        GroupView previous = state.view();
        InvariantViolation.check(
                start.term().isAfter(previous.term())
                        || isConsistentWith(previous, start.term(), chosen.backendServer()),
                "two primaries of term " + start.term().number() + " in group " + previous.group());
        List<TermStart> termStarts =
                mergeTermStarts(mergeTermStarts(previous.termStarts(), chosen.termStarts()), List.of(start));
        GroupView view = new GroupView(
                previous.group(),
                start.term(),
                Optional.of(chosen.backendServer()),
                previous.statuses(),
                previous.term().equals(start.term()) ? previous.samples() : List.of(),
                termStarts);
        return state.withView(view, List.of(), Optional.of(now));
    }

    private static boolean isConsistentWith(GroupView view, Term term, BackendServerName primary) {
        return view.term().equals(term) && view.primary().map(primary::equals).orElse(true);
    }

    private static Map<BackendServerName, BackendStatus> newestStatuses(GroupState state) {
        Map<BackendServerName, BackendStatus> statuses = new HashMap<>();
        state.databaseNames().forEach(name -> state.statusOf(name).ifPresent(status -> statuses.put(name, status)));
        return statuses;
    }

    /**
     * Returns the primary of the term. A primary that stops reporting remains the primary until its own report shows
     * otherwise.
     */
    private static Optional<BackendServerName> currentPrimary(
            GroupState state, Map<BackendServerName, BackendStatus> statuses, Term term) {
        List<BackendServerName> reporting = statuses.values().stream()
                .filter(status -> isPrimaryOf(status, term))
                .map(BackendStatus::backendServer)
                .toList();
        InvariantViolation.check(
                reporting.size() <= 1, "two primaries of term " + term.number() + " report: " + reporting);
        if (!reporting.isEmpty()) {
            return Optional.of(reporting.getFirst());
        }
        Instant promotedAt = state.lastPromotionAt().orElse(Instant.MIN);
        return state.view()
                .primary()
                .filter(name -> state.view().term().equals(term))
                .filter(name -> !isDemoted(statuses.get(name), term, promotedAt));
    }

    private static boolean isPrimaryOf(BackendStatus status, Term term) {
        return status.primary()
                && status.replicatingTerm().equals(term)
                && status.fencedTerm().equals(term);
    }

    /**
     * Tells whether a report shows that the primary of the term was demoted. Except for a higher fence, a report
     * requested before the promotion was known says nothing about the role in the term.
     */
    private static boolean isDemoted(BackendStatus status, Term term, Instant promotedAt) {
        return status != null
                && (status.fencedTerm().isAfter(term)
                        || (status.requestSentAt().isAfter(promotedAt) && !isPrimaryOf(status, term)));
    }

    /**
     * Returns the time up to which samples are confirmed. A sample bounds the age of replicas only if no other primary
     * can have committed a write before its time: a majority must report, to requests sent at or after that time, that
     * they are not fenced above the term.
     */
    private static Instant confirmedUntil(GroupState state, Map<BackendServerName, BackendStatus> statuses, Term term) {
        return statuses.values().stream()
                .filter(status -> status.replicatingTerm().equals(term))
                .filter(status -> status.fencedTerm().equals(term))
                .map(BackendStatus::requestSentAt)
                .sorted(Comparator.reverseOrder())
                .skip(state.group().majoritySize() - 1L)
                .findFirst()
                .orElse(Instant.MIN);
    }

    /**
     * Keeps every known term start, so that positions of a truncated term can still be told from those of the current
     * one.
     */
    private static List<TermStart> mergeTermStarts(List<TermStart> known, List<TermStart> reported) {
        TreeMap<Term, TermStart> merged = new TreeMap<>();
        known.forEach(start -> merged.put(start.term(), start));
        reported.forEach(start -> merged.put(start.term(), start));
        return List.copyOf(merged.values());
    }
}
