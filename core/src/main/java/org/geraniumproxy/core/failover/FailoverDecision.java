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

/** Supervision of a group: turns events into the next state and the effects to carry out. */
public final class FailoverDecision {
    private FailoverDecision() {}

    /**
     * Decides about an event.
     *
     * @param state the state
     * @param event the event
     * @param now the present moment on this VM's clock, not before that of the last event
     * @return the next state and the effects
     * @throws InvariantViolation if the event shows that a rule of the failover was broken
     */
    public static Transition<GroupState, FailoverEffect> decide(GroupState state, FailoverEvent event, Instant now) {
        Transition<GroupState, FailoverEffect> result = apply(state, event, now);
        result = then(result, next -> Transition.to(SuspicionRule.refresh(next, now)));
        result = then(result, next -> PromotionSteps.advance(next, now));
        result = then(result, next -> poll(next, now));
        result = then(result, next -> follow(next, now));
        InvariantViolation.check(
                !state.view().term().isAfter(result.state().view().term()),
                "the term of a view must not fall in group " + state.group().name());
        return result;
    }

    private static Transition<GroupState, FailoverEffect> apply(GroupState state, FailoverEvent event, Instant now) {
        return switch (event) {
            case FailoverEvent.TimePassed passed -> Transition.to(state);
            case FailoverEvent.PollAnswered answered ->
                Transition.to(heard(endPoll(state, answered), answered.status(), now));
            case FailoverEvent.StatusReceived received -> Transition.to(heard(state, received.status(), now));
            case FailoverEvent.AnnouncementAnswered answered ->
                PromotionSteps.announcementAnswered(state, answered, now);
            case FailoverEvent.AnnouncementFailed failed ->
                PromotionSteps.announcementFailed(state, failed.term(), now);
            case FailoverEvent.FenceAnswered answered ->
                PromotionSteps.fenceAnswered(heard(state, answered.status(), now), answered, now);
            case FailoverEvent.PromotionAnswered answered -> PromotionSteps.promotionAnswered(state, answered, now);
            case FailoverEvent.RankChanged changed -> Transition.to(state.withRank(changed.rank()));
            case FailoverEvent.GroupChanged changed ->
                Transition.to(state.withGroup(changed.group()).withPromotion(new Promotion.Idle()));
            case FailoverEvent.LeavingListed listed -> Transition.to(state.withListedLeaving(listed.backendServers()));
        };
    }

    private static GroupState endPoll(GroupState state, FailoverEvent.PollAnswered answered) {
        BackendServerName name = answered.status().backendServer();
        return state.withDatabase(name, state.database(name).withPollAnswered(answered.poll()));
    }

    private static GroupState heard(GroupState state, BackendStatus status, Instant now) {
        BackendServerName name = status.backendServer();
        if (state.group().find(name).isEmpty()) {
            return state;
        }
        GroupState updated = state.withDatabase(name, state.database(name).heard(status, now));
        return ViewMaintenance.refresh(updated.withHighestTerm(status.fencedTerm()), now);
    }

    private static Transition<GroupState, FailoverEffect> poll(GroupState state, Instant now) {
        GroupState next = state;
        List<FailoverEffect> effects = new ArrayList<>();
        for (BackendServerName name : state.names()) {
            Optional<Instant> sentAt = state.database(name).pollSentAt();
            boolean isLost = sentAt.map(sent -> !now.isBefore(sent.plus(FailoverTimes.STATUS_RETRY)))
                    .orElse(false);
            if (sentAt.isEmpty() || isLost) {
                Duration wait = isLost ? Duration.ZERO : FailoverTimes.STATUS_WAIT;
                DatabaseState polled = next.database(name).withPollSent(now);
                effects.add(new FailoverEffect.RequestStatus(name, wait, polled.pollNumber()));
                next = next.withDatabase(name, polled);
            }
        }
        return Transition.to(next, effects);
    }

    /** Lets every database that does not replicate from the present primary follow it, returning primaries included. */
    private static Transition<GroupState, FailoverEffect> follow(GroupState state, Instant now) {
        Term term = state.view().term();
        Optional<BackendServerName> primary = state.view().primary();
        if (!(state.promotion() instanceof Promotion.Idle) || primary.isEmpty()) {
            return Transition.to(state);
        }
        GroupState next = state;
        List<FailoverEffect> effects = new ArrayList<>();
        for (BackendServerName name : state.names()) {
            if (!name.equals(primary.get()) && needsFollow(state, name, term, now)) {
                effects.add(new FailoverEffect.Follow(name, term, primary.get()));
                next = next.withDatabase(name, next.database(name).withFollowSentAt(now));
            }
        }
        return Transition.to(next, effects);
    }

    private static boolean needsFollow(GroupState state, BackendServerName name, Term term, Instant now) {
        boolean isDue = state.database(name)
                .followSentAt()
                .map(sentAt -> !now.isBefore(sentAt.plus(FailoverTimes.COMMAND_RETRY)))
                .orElse(true);
        return isDue
                && state.statusOf(name)
                        .filter(status -> !status.fencedTerm().isAfter(term))
                        .filter(status -> !status.replicatingTerm().equals(term))
                        .isPresent();
    }

    private static Transition<GroupState, FailoverEffect> then(
            Transition<GroupState, FailoverEffect> first,
            Function<GroupState, Transition<GroupState, FailoverEffect>> step) {
        Transition<GroupState, FailoverEffect> second = step.apply(first.state());
        List<FailoverEffect> effects = new ArrayList<>(first.effects());
        effects.addAll(second.effects());
        return Transition.to(second.state(), effects);
    }
}
