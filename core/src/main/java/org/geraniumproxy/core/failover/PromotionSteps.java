package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/** The steps of a promotion: drain, announce, fence, promote. */
final class PromotionSteps {
    private PromotionSteps() {}

    /** Starts, continues or abandons a promotion after an event has been taken into account. */
    static Transition<GroupState, FailoverEffect> advance(GroupState state, Instant now) {
        return switch (state.promotion()) {
            case Promotion.Idle idle -> begin(state, now);
            case Promotion.Draining draining -> drain(state, draining, now);
            case Promotion.Announcing announcing ->
                isPast(announcing.startedAt(), FailoverTimes.ANNOUNCEMENT, now)
                        ? fence(state, announcing.term(), now)
                        : Transition.to(state);
            case Promotion.Fencing fencing -> continueFencing(state, fencing, now);
            case Promotion.Promoting promoting -> continuePromoting(state, promoting, now);
        };
    }

    static Transition<GroupState, FailoverEffect> announcementAnswered(
            GroupState state, FailoverEvent.AnnouncementAnswered answer, Instant now) {
        if (!isAnnouncing(state, answer.term())) {
            return Transition.to(state.withHighestTerm(answer.recordTerm()));
        }
        if (answer.recordTerm().isAfter(answer.term())) {
            return abandon(
                    state.withHighestTerm(answer.recordTerm()),
                    now,
                    "the group record holds term " + answer.recordTerm().number());
        }
        return fence(state, answer.term(), now);
    }

    static Transition<GroupState, FailoverEffect> announcementFailed(GroupState state, Term term, Instant now) {
        return isAnnouncing(state, term) ? fence(state, term, now) : Transition.to(state);
    }

    static Transition<GroupState, FailoverEffect> fenceAnswered(
            GroupState state, FailoverEvent.FenceAnswered answer, Instant now) {
        if (!(state.promotion() instanceof Promotion.Fencing fencing)
                || !fencing.term().equals(answer.term())) {
            return Transition.to(state);
        }
        if (!answer.accepted()) {
            return abandon(state, now, answer.status().backendServer() + " is fenced at a higher term");
        }
        Map<BackendServerName, BackendStatus> fenced = new HashMap<>(fencing.fenced());
        fenced.put(answer.status().backendServer(), answer.status());
        Optional<Instant> majorityAt = fencing.majorityAt()
                .or(() -> fenced.size() >= state.group().majority() ? Optional.of(now) : Optional.empty());
        return Transition.to(state.withPromotion(
                new Promotion.Fencing(fencing.term(), fencing.startedAt(), fencing.sentAt(), fenced, majorityAt)));
    }

    static Transition<GroupState, FailoverEffect> promotionAnswered(
            GroupState state, FailoverEvent.PromotionAnswered answer, Instant now) {
        if (!(state.promotion() instanceof Promotion.Promoting promoting)
                || !promoting.term().equals(answer.term())) {
            return Transition.to(state);
        }
        BackendStatus chosen = promoting.chosen();
        InvariantViolation.check(
                chosen.backendServer().equals(answer.backendServer()),
                "answer to a promotion from a database that was not chosen: " + answer.backendServer());
        if (!answer.accepted()) {
            return abandon(state, now, answer.backendServer() + " refused the promotion");
        }
        TermStart start = new TermStart(answer.term(), answer.startPosition());
        GroupState promoted = ViewMaintenance.promoted(state, chosen, start, now)
                .withPromotion(new Promotion.Idle())
                .withSuspicion(Optional.empty());
        return Transition.to(
                promoted,
                List.of(
                        new FailoverEffect.Publish(
                                record(promoted, answer.term(), Optional.of(answer.backendServer()))),
                        new FailoverEffect.Report("promoted " + answer.backendServer() + " at position "
                                + answer.startPosition() + ", term "
                                + answer.term().number())));
    }

    private static Transition<GroupState, FailoverEffect> begin(GroupState state, Instant now) {
        if (!SuspicionRule.isDue(state, now)) {
            return Transition.to(state);
        }
        PromotionCause cause = state.suspicion().orElseThrow().cause();
        if (cause == PromotionCause.PRIMARY_LEAVING) {
            return Transition.to(
                    state.withPromotion(new Promotion.Draining(now)),
                    List.of(new FailoverEffect.Report("planned switch begins, new writes are held back")));
        }
        return announce(state, "cause " + cause, now);
    }

    private static Transition<GroupState, FailoverEffect> drain(
            GroupState state, Promotion.Draining draining, Instant now) {
        if (isPast(draining.startedAt(), FailoverTimes.STEP_LIMIT, now)
                || state.suspicion().map(Suspicion::cause).orElse(null) != PromotionCause.PRIMARY_LEAVING) {
            return abandon(state, now, "no replica reached the position of the leaving primary");
        }
        Instant settled = draining.startedAt().plus(FailoverTimes.DRAIN_SETTLE);
        boolean isDrained = state.view()
                .primary()
                .flatMap(state::statusOf)
                .filter(primary -> !primary.requestSentAt().isBefore(settled))
                .filter(primary -> hasWholeLog(state, primary))
                .isPresent();
        return isDrained ? announce(state, "the leaving primary is drained", now) : Transition.to(state);
    }

    private static boolean hasWholeLog(GroupState state, BackendStatus primary) {
        return state.names().stream()
                .filter(name -> !name.equals(primary.backendServer()) && !state.isLeaving(name))
                .flatMap(name -> state.statusOf(name).stream())
                .anyMatch(status -> status.replicatingTerm().equals(state.view().term())
                        && status.position() >= primary.position());
    }

    private static Transition<GroupState, FailoverEffect> announce(GroupState state, String reason, Instant now) {
        Term term = state.highestTerm().nextFor(state.self().index());
        GroupState announcing = state.withPromotion(new Promotion.Announcing(term, now), term, state.notBefore());
        return Transition.to(
                announcing,
                List.of(
                        new FailoverEffect.Announce(record(announcing, term, Optional.empty())),
                        new FailoverEffect.Report("promotion with term " + term.number() + " begins: " + reason)));
    }

    private static Transition<GroupState, FailoverEffect> fence(GroupState state, Term term, Instant now) {
        Promotion fencing = new Promotion.Fencing(term, now, now, Map.of(), Optional.empty());
        return Transition.to(state.withPromotion(fencing), fences(state.names(), term));
    }

    private static Transition<GroupState, FailoverEffect> continueFencing(
            GroupState state, Promotion.Fencing fencing, Instant now) {
        if (isSuperseded(state, fencing.term())) {
            return abandon(state, now, "another VM promoted with a higher term");
        }
        if (fencing.majorityAt().isPresent() && isFencingComplete(state, fencing, now)) {
            return promote(state, fencing, now);
        }
        if (isPast(fencing.startedAt(), FailoverTimes.STEP_LIMIT, now)) {
            return abandon(state, now, "no majority could be fenced");
        }
        if (!isPast(fencing.sentAt(), FailoverTimes.COMMAND_RETRY, now)) {
            return Transition.to(state);
        }
        List<BackendServerName> missing = state.names().stream()
                .filter(name -> !fencing.fenced().containsKey(name))
                .toList();
        Promotion repeated =
                new Promotion.Fencing(fencing.term(), fencing.startedAt(), now, fencing.fenced(), fencing.majorityAt());
        return Transition.to(state.withPromotion(repeated), fences(missing, fencing.term()));
    }

    private static boolean isFencingComplete(GroupState state, Promotion.Fencing fencing, Instant now) {
        Instant majorityAt = fencing.majorityAt().orElseThrow();
        if (state.isLeaving(choose(state, fencing).backendServer())) {
            return fencing.fenced().keySet().containsAll(state.names())
                    || isPast(majorityAt, FailoverTimes.SWITCH_FENCE_GRACE, now);
        }
        return fencing.fenced().keySet().containsAll(state.reachable(now))
                || isPast(majorityAt, FailoverTimes.FENCE_GRACE, now);
    }

    private static BackendStatus choose(GroupState state, Promotion.Fencing fencing) {
        Set<BackendServerName> leaving =
                state.names().stream().filter(state::isLeaving).collect(Collectors.toSet());
        return LogChoice.choose(state.group(), fencing.fenced().values(), leaving);
    }

    private static Transition<GroupState, FailoverEffect> promote(
            GroupState state, Promotion.Fencing fencing, Instant now) {
        BackendStatus chosen = choose(state, fencing);
        return Transition.to(
                state.withPromotion(new Promotion.Promoting(fencing.term(), chosen, now, now)),
                List.of(new FailoverEffect.Promote(chosen.backendServer(), fencing.term())));
    }

    /** The choice is never changed within a term: a promotion that got lost may still arrive. */
    private static Transition<GroupState, FailoverEffect> continuePromoting(
            GroupState state, Promotion.Promoting promoting, Instant now) {
        if (isSuperseded(state, promoting.term())) {
            return abandon(state, now, "another VM promoted with a higher term");
        }
        if (isPast(promoting.startedAt(), FailoverTimes.STEP_LIMIT, now)) {
            return abandon(state, now, promoting.chosen().backendServer() + " did not answer the promotion");
        }
        if (!isPast(promoting.sentAt(), FailoverTimes.COMMAND_RETRY, now)) {
            return Transition.to(state);
        }
        Promotion repeated = new Promotion.Promoting(promoting.term(), promoting.chosen(), promoting.startedAt(), now);
        return Transition.to(
                state.withPromotion(repeated),
                List.of(new FailoverEffect.Promote(promoting.chosen().backendServer(), promoting.term())));
    }

    private static Transition<GroupState, FailoverEffect> abandon(GroupState state, Instant now, String reason) {
        Instant notBefore = now.plus(FailoverTimes.STANDBY_DELAY.multipliedBy(state.rank() + 1L));
        return Transition.to(
                state.withPromotion(new Promotion.Idle(), state.highestTerm(), notBefore),
                List.of(new FailoverEffect.Report("promotion abandoned: " + reason)));
    }

    private static boolean isSuperseded(GroupState state, Term term) {
        return state.view().term().isAfter(term);
    }

    private static boolean isAnnouncing(GroupState state, Term term) {
        return state.promotion() instanceof Promotion.Announcing announcing
                && announcing.term().equals(term);
    }

    private static List<FailoverEffect> fences(List<BackendServerName> names, Term term) {
        List<FailoverEffect> effects = new ArrayList<>();
        names.forEach(name -> effects.add(new FailoverEffect.Fence(name, term)));
        return effects;
    }

    private static GroupRecord record(GroupState state, Term term, Optional<BackendServerName> primary) {
        return new GroupRecord(
                state.group().name(),
                term,
                primary,
                state.self().name(),
                state.view().termStarts());
    }

    private static boolean isPast(Instant start, Duration limit, Instant now) {
        return !now.isBefore(start.plus(limit));
    }
}
