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

/** State transitions of a promotion: drain (switchover only), announce, fence, promote. */
final class PromotionSteps {
    private PromotionSteps() {}

    /** Starts, continues or abandons a promotion after an event has been applied. */
    static Transition<GroupState, FailoverEffect> advance(GroupState state, Instant now) {
        return switch (state.promotion()) {
            case Promotion.Idle idle -> begin(state, now);
            case Promotion.Draining draining -> continueDraining(state, draining, now);
            case Promotion.Announcing announcing ->
                hasElapsed(announcing.startedAt(), FailoverTiming.ANNOUNCEMENT_TIMEOUT, now)
                        ? startFencing(state, announcing.term(), now)
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
                    "the group record has term " + answer.recordTerm().number());
        }
        return startFencing(state, answer.term(), now);
    }

    static Transition<GroupState, FailoverEffect> announcementFailed(GroupState state, Term term, Instant now) {
        return isAnnouncing(state, term) ? startFencing(state, term, now) : Transition.to(state);
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
                .or(() -> fenced.size() >= state.group().majoritySize() ? Optional.of(now) : Optional.empty());
        return Transition.to(state.withPromotion(
                new Promotion.Fencing(fencing.term(), fencing.startedAt(), fencing.sentAt(), fenced, majorityAt)));
    }

    static Transition<GroupState, FailoverEffect> promotionAnswered(
            GroupState state, FailoverEvent.PromotionAnswered answer, Instant now) {
        if (!(state.promotion() instanceof Promotion.Promoting promoting)
                || !promoting.term().equals(answer.term())) {
            return Transition.to(state);
        }
        BackendStatus candidate = promoting.candidate();
        InvariantViolation.check(
                candidate.backendServer().equals(answer.backendServer()),
                "reply to a promote command from a database that was not selected: " + answer.backendServer());
        if (!answer.accepted()) {
            return abandon(state, now, answer.backendServer() + " refused the promotion");
        }
        TermStart start = new TermStart(answer.term(), answer.startPosition());
        GroupState promoted = GroupViewUpdate.applyPromotion(state, candidate, start, now)
                .withPromotion(new Promotion.Idle())
                .withPromotionTrigger(Optional.empty());
        return Transition.to(
                promoted,
                List.of(
                        new FailoverEffect.Publish(
                                groupRecord(promoted, answer.term(), Optional.of(answer.backendServer()))),
                        new FailoverEffect.Report("promoted " + answer.backendServer() + " at position "
                                + answer.startPosition() + ", term "
                                + answer.term().number())));
    }

    private static Transition<GroupState, FailoverEffect> begin(GroupState state, Instant now) {
        if (!PromotionTriggerRule.isDue(state, now)) {
            return Transition.to(state);
        }
        PromotionCause cause = state.promotionTrigger().orElseThrow().cause();
        if (cause == PromotionCause.PRIMARY_LEAVING) {
            return Transition.to(
                    state.withPromotion(new Promotion.Draining(now)),
                    List.of(new FailoverEffect.Report("switchover begins, new writes are blocked")));
        }
        return announce(state, "cause " + cause, now);
    }

    private static Transition<GroupState, FailoverEffect> continueDraining(
            GroupState state, Promotion.Draining draining, Instant now) {
        if (hasElapsed(draining.startedAt(), FailoverTiming.STEP_TIMEOUT, now)
                || state.promotionTrigger().map(PromotionTrigger::cause).orElse(null)
                        != PromotionCause.PRIMARY_LEAVING) {
            return abandon(state, now, "no replica reached the position of the leaving primary");
        }
        Instant earliestEnd = draining.startedAt().plus(FailoverTiming.MINIMUM_DRAIN_TIME);
        boolean isDrained = state.view()
                .primary()
                .flatMap(state::statusOf)
                .filter(primary -> !primary.requestSentAt().isBefore(earliestEnd))
                .filter(primary -> hasCaughtUpReplica(state, primary))
                .isPresent();
        return isDrained ? announce(state, "the leaving primary is drained", now) : Transition.to(state);
    }

    private static boolean hasCaughtUpReplica(GroupState state, BackendStatus primary) {
        return state.databaseNames().stream()
                .filter(name -> !name.equals(primary.backendServer()) && !state.isLeaving(name))
                .flatMap(name -> state.statusOf(name).stream())
                .anyMatch(status -> status.replicatingTerm().equals(state.view().term())
                        && status.position() >= primary.position());
    }

    private static Transition<GroupState, FailoverEffect> announce(GroupState state, String reason, Instant now) {
        Term term = state.highestTerm().nextFor(state.self().index());
        GroupState announcing =
                state.withPromotion(new Promotion.Announcing(term, now), term, state.nextPromotionNotBefore());
        return Transition.to(
                announcing,
                List.of(
                        new FailoverEffect.Announce(groupRecord(announcing, term, Optional.empty())),
                        new FailoverEffect.Report("promotion with term " + term.number() + " begins: " + reason)));
    }

    private static Transition<GroupState, FailoverEffect> startFencing(GroupState state, Term term, Instant now) {
        Promotion fencing = new Promotion.Fencing(term, now, now, Map.of(), Optional.empty());
        return Transition.to(state.withPromotion(fencing), fenceCommands(state.databaseNames(), term));
    }

    private static Transition<GroupState, FailoverEffect> continueFencing(
            GroupState state, Promotion.Fencing fencing, Instant now) {
        if (isSuperseded(state, fencing.term())) {
            return abandon(state, now, "another VM promoted with a higher term");
        }
        if (fencing.majorityAt().isPresent() && isFencingComplete(state, fencing, now)) {
            return promote(state, fencing, now);
        }
        if (hasElapsed(fencing.startedAt(), FailoverTiming.STEP_TIMEOUT, now)) {
            return abandon(state, now, "no majority could be fenced");
        }
        if (!hasElapsed(fencing.sentAt(), FailoverTiming.COMMAND_RETRY_INTERVAL, now)) {
            return Transition.to(state);
        }
        List<BackendServerName> missing = state.databaseNames().stream()
                .filter(name -> !fencing.fenced().containsKey(name))
                .toList();
        Promotion repeated =
                new Promotion.Fencing(fencing.term(), fencing.startedAt(), now, fencing.fenced(), fencing.majorityAt());
        return Transition.to(state.withPromotion(repeated), fenceCommands(missing, fencing.term()));
    }

    private static boolean isFencingComplete(GroupState state, Promotion.Fencing fencing, Instant now) {
        Instant majorityAt = fencing.majorityAt().orElseThrow();
        if (state.isLeaving(selectCandidate(state, fencing).backendServer())) {
            return fencing.fenced().keySet().containsAll(state.databaseNames())
                    || hasElapsed(majorityAt, FailoverTiming.SWITCHOVER_FENCE_GRACE_PERIOD, now);
        }
        return fencing.fenced().keySet().containsAll(state.reachableDatabases(now))
                || hasElapsed(majorityAt, FailoverTiming.FENCE_GRACE_PERIOD, now);
    }

    private static BackendStatus selectCandidate(GroupState state, Promotion.Fencing fencing) {
        Set<BackendServerName> leaving =
                state.databaseNames().stream().filter(state::isLeaving).collect(Collectors.toSet());
        return PrimarySelection.select(state.group(), fencing.fenced().values(), leaving);
    }

    private static Transition<GroupState, FailoverEffect> promote(
            GroupState state, Promotion.Fencing fencing, Instant now) {
        BackendStatus candidate = selectCandidate(state, fencing);
        return Transition.to(
                state.withPromotion(new Promotion.Promoting(fencing.term(), candidate, now, now)),
                List.of(new FailoverEffect.Promote(candidate.backendServer(), fencing.term())));
    }

    /** Keeps the candidate for the whole term, because a promote command that seems lost may still arrive. */
    private static Transition<GroupState, FailoverEffect> continuePromoting(
            GroupState state, Promotion.Promoting promoting, Instant now) {
        if (isSuperseded(state, promoting.term())) {
            return abandon(state, now, "another VM promoted with a higher term");
        }
        if (hasElapsed(promoting.startedAt(), FailoverTiming.STEP_TIMEOUT, now)) {
            return abandon(state, now, promoting.candidate().backendServer() + " did not answer the promotion");
        }
        if (!hasElapsed(promoting.sentAt(), FailoverTiming.COMMAND_RETRY_INTERVAL, now)) {
            return Transition.to(state);
        }
        Promotion repeated =
                new Promotion.Promoting(promoting.term(), promoting.candidate(), promoting.startedAt(), now);
        return Transition.to(
                state.withPromotion(repeated),
                List.of(new FailoverEffect.Promote(promoting.candidate().backendServer(), promoting.term())));
    }

    private static Transition<GroupState, FailoverEffect> abandon(GroupState state, Instant now, String reason) {
        Instant notBefore = now.plus(FailoverTiming.STANDBY_DELAY.multipliedBy(state.rank() + 1L));
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

    private static List<FailoverEffect> fenceCommands(List<BackendServerName> names, Term term) {
        List<FailoverEffect> effects = new ArrayList<>();
        names.forEach(name -> effects.add(new FailoverEffect.Fence(name, term)));
        return effects;
    }

    private static GroupRecord groupRecord(GroupState state, Term term, Optional<BackendServerName> primary) {
        return new GroupRecord(
                state.group().name(),
                term,
                primary,
                state.self().name(),
                state.view().termStarts());
    }

    private static boolean hasElapsed(Instant start, Duration limit, Instant now) {
        return !now.isBefore(start.plus(limit));
    }
}
