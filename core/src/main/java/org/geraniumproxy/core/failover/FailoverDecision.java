package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.control.Transition;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;

/** State machine that supervises a database group: maps an event to the next state and the effects to execute. */
public final class FailoverDecision {
    private FailoverDecision() {}

    /**
     * Applies an event.
     *
     * @param state the state
     * @param event the event
     * @param now current time on this VM's clock, not before the time of the previous event
     * @return the next state and the effects
     * @throws InvariantViolation if the event shows a violated failover invariant, such as two primaries in one term
     */
    public static Transition<GroupState, FailoverEffect> decide(GroupState state, FailoverEvent event, Instant now) {
        Transition<GroupState, FailoverEffect> result = apply(state, event, now);
        result = andThen(result, next -> Transition.to(PromotionTriggerRule.refresh(next, now)));
        result = andThen(result, next -> PromotionSteps.advance(next, now));
        result = andThen(result, next -> requestStatuses(next, now));
        result = andThen(result, next -> commandReplicas(next, now));
        InvariantViolation.check(
                !state.view().term().isAfter(result.state().view().term()),
                "view term decreased in group " + state.group().name());
        return result;
    }

    private static Transition<GroupState, FailoverEffect> apply(GroupState state, FailoverEvent event, Instant now) {
        return switch (event) {
            case FailoverEvent.TimePassed passed -> Transition.to(state);
            case FailoverEvent.PollAnswered answered ->
                Transition.to(withReport(endPoll(state, answered), answered.status(), now));
            case FailoverEvent.StatusReceived received -> Transition.to(withReport(state, received.status(), now));
            case FailoverEvent.AnnouncementAnswered answered ->
                PromotionSteps.announcementAnswered(state, answered, now);
            case FailoverEvent.AnnouncementFailed failed ->
                PromotionSteps.announcementFailed(state, failed.term(), now);
            case FailoverEvent.FenceAnswered answered ->
                PromotionSteps.fenceAnswered(withReport(state, answered.status(), now), answered, now);
            case FailoverEvent.PromotionAnswered answered -> PromotionSteps.promotionAnswered(state, answered, now);
            case FailoverEvent.RankChanged changed -> Transition.to(state.withRank(changed.rank()));
            case FailoverEvent.GroupChanged changed ->
                Transition.to(state.withGroup(changed.group()).withPromotion(new Promotion.Idle()));
            case FailoverEvent.LeavingServersListed listed ->
                Transition.to(state.withListedAsLeaving(listed.backendServers()));
        };
    }

    private static GroupState endPoll(GroupState state, FailoverEvent.PollAnswered answered) {
        BackendServerName name = answered.status().backendServer();
        return state.withDatabase(name, state.database(name).withPollAnswered(answered.poll()));
    }

    private static GroupState withReport(GroupState state, BackendStatus status, Instant now) {
        BackendServerName name = status.backendServer();
        if (state.group().findBackendServer(name).isEmpty()) {
            return state;
        }
        GroupState updated = state.withDatabase(name, state.database(name).withReply(status, now));
        return GroupViewUpdate.refresh(updated.withHighestTerm(status.fencedTerm()), now);
    }

    private static Transition<GroupState, FailoverEffect> requestStatuses(GroupState state, Instant now) {
        GroupState next = state;
        List<FailoverEffect> effects = new ArrayList<>();
        for (BackendServerName name : state.databaseNames()) {
            Optional<Instant> sentAt = state.database(name).pollSentAt();
            boolean isTimedOut = sentAt.map(sent -> !now.isBefore(sent.plus(FailoverTiming.STATUS_RETRY_INTERVAL)))
                    .orElse(false);
            if (sentAt.isEmpty() || isTimedOut) {
                Duration wait = isTimedOut ? Duration.ZERO : FailoverTiming.MAXIMUM_STATUS_WAIT;
                DatabaseState polled = next.database(name).withPollSent(now);
                effects.add(new FailoverEffect.RequestStatus(name, wait, polled.pollNumber()));
                next = next.withDatabase(name, polled);
            }
        }
        return Transition.to(next, effects);
    }

    /**
     * Tells every database that does not replicate from the current primary to follow it, including former primaries
     * that come back.
     */
    private static Transition<GroupState, FailoverEffect> commandReplicas(GroupState state, Instant now) {
        Term term = state.view().term();
        Optional<BackendServerName> primary = state.view().primary();
        if (!(state.promotion() instanceof Promotion.Idle) || primary.isEmpty()) {
            return Transition.to(state);
        }
        GroupState next = state;
        List<FailoverEffect> effects = new ArrayList<>();
        for (BackendServerName name : state.databaseNames()) {
            if (!name.equals(primary.get()) && needsFollowCommand(state, name, term, now)) {
                effects.add(new FailoverEffect.Follow(name, term, primary.get()));
                next = next.withDatabase(name, next.database(name).withFollowSentAt(now));
            }
        }
        return Transition.to(next, effects);
    }

    private static boolean needsFollowCommand(GroupState state, BackendServerName name, Term term, Instant now) {
        boolean isDue = state.database(name)
                .followSentAt()
                .map(sentAt -> !now.isBefore(sentAt.plus(FailoverTiming.COMMAND_RETRY_INTERVAL)))
                .orElse(true);
        return isDue
                && state.statusOf(name)
                        .filter(status -> !status.fencedTerm().isAfter(term))
                        .filter(status -> !status.replicatingTerm().equals(term))
                        .isPresent();
    }

    private static Transition<GroupState, FailoverEffect> andThen(
            Transition<GroupState, FailoverEffect> first,
            Function<GroupState, Transition<GroupState, FailoverEffect>> step) {
        Transition<GroupState, FailoverEffect> second = step.apply(first.state());
        List<FailoverEffect> effects = new ArrayList<>(first.effects());
        effects.addAll(second.effects());
        return Transition.to(second.state(), effects);
    }
}
