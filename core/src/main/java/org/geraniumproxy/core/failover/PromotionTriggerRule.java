package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;

/** Determines whether the primary of a group must be replaced, and why. */
final class PromotionTriggerRule {
    private PromotionTriggerRule() {}

    /** Sets the promotion trigger to the cause that currently applies and the time since which it has persisted. */
    static GroupState refresh(GroupState state, Instant now) {
        Optional<PromotionTrigger> trigger = cause(state, now).map(cause -> {
            Instant since = state.promotionTrigger()
                    .filter(previous -> cause.isContinuationOf(previous.cause()))
                    .map(PromotionTrigger::since)
                    .orElse(now);
            return new PromotionTrigger(cause, since);
        });
        return state.withPromotionTrigger(trigger);
    }

    /** Tells whether the current cause has persisted long enough for this supervisor to act. */
    static boolean isDue(GroupState state, Instant now) {
        return state.promotionTrigger()
                .filter(trigger ->
                        !now.isBefore(trigger.since().plus(trigger.cause().delay(state.rank()))))
                .filter(trigger -> !now.isBefore(earliestAttempt(state, trigger.cause())))
                .filter(trigger -> !trigger.cause().hasCooldown() || isCooldownOver(state, now))
                .isPresent();
    }

    private static Instant earliestAttempt(GroupState state, PromotionCause cause) {
        return cause == PromotionCause.PRIMARY_LEAVING
                ? state.nextPromotionNotBefore().plus(FailoverTiming.SWITCHOVER_RETRY_INTERVAL)
                : state.nextPromotionNotBefore();
    }

    private static boolean isCooldownOver(GroupState state, Instant now) {
        return state.lastPromotionAt()
                .map(promotedAt -> !now.isBefore(promotedAt.plus(FailoverTiming.PROMOTION_COOLDOWN)))
                .orElse(true);
    }

    private static Optional<PromotionCause> cause(GroupState state, Instant now) {
        List<BackendServerName> reachable = state.reachableDatabases(now);
        if (reachable.size() < state.group().majoritySize()) {
            return Optional.empty();
        }
        if (state.view().primary().isEmpty()) {
            return Optional.of(causeWithoutPrimary(state, reachable));
        }
        BackendServerName primary = state.view().primary().get();
        if (!isPrimaryReachable(state, primary, now)) {
            return Optional.of(causeWithUnreachablePrimary(state, primary, reachable));
        }
        if (isAnyFencedAboveTerm(state, reachable)) {
            return Optional.of(PromotionCause.PROMOTION_UNFINISHED);
        }
        return state.isLeaving(primary) && hasSuccessor(state, primary, reachable, now)
                ? Optional.of(PromotionCause.PRIMARY_LEAVING)
                : Optional.empty();
    }

    private static PromotionCause causeWithoutPrimary(GroupState state, List<BackendServerName> reachable) {
        if (state.view().term().equals(Term.NONE) && state.highestTerm().equals(Term.NONE)) {
            return PromotionCause.NEVER_PROMOTED;
        }
        return reachable.stream().anyMatch(name -> hasPrimaryContact(state, name))
                ? PromotionCause.LINK_FAULT
                : PromotionCause.PROMOTION_UNFINISHED;
    }

    private static PromotionCause causeWithUnreachablePrimary(
            GroupState state, BackendServerName primary, List<BackendServerName> reachable) {
        List<BackendServerName> replicas = reachable.stream()
                .filter(name -> !name.equals(primary))
                .filter(name -> isReplicatingCurrentTerm(state, name))
                .toList();
        if (replicas.isEmpty()) {
            return PromotionCause.PRIMARY_SILENT;
        }
        return replicas.stream().anyMatch(name -> hasPrimaryContact(state, name))
                ? PromotionCause.LINK_FAULT
                : PromotionCause.PRIMARY_DEAD;
    }

    /** Tells whether the primary replied within its timeout. The reply to its promotion counts as its first reply. */
    private static boolean isPrimaryReachable(GroupState state, BackendServerName primary, Instant now) {
        Duration timeout = state.detectionTimeoutOf(primary);
        return state.isReachable(primary, now)
                || state.lastPromotionAt()
                        .map(promotedAt -> Duration.between(promotedAt, now).compareTo(timeout) <= 0)
                        .orElse(false);
    }

    private static boolean isReplicatingCurrentTerm(GroupState state, BackendServerName name) {
        return state.statusOf(name)
                .filter(status -> !status.primary())
                .filter(status -> status.replicatingTerm().equals(state.view().term()))
                .filter(status -> !state.view().term().equals(Term.NONE))
                .isPresent();
    }

    private static boolean hasPrimaryContact(GroupState state, BackendServerName name) {
        return isReplicatingCurrentTerm(state, name)
                && state.statusOf(name)
                        .filter(status ->
                                status.fencedTerm().equals(state.view().term()))
                        .filter(status ->
                                status.timeSincePrimaryContact().compareTo(state.detectionTimeoutOf(name)) < 0)
                        .isPresent();
    }

    private static boolean isAnyFencedAboveTerm(GroupState state, List<BackendServerName> reachable) {
        return reachable.stream()
                .flatMap(name -> state.statusOf(name).stream())
                .anyMatch(status -> status.fencedTerm().isAfter(state.view().term()));
    }

    /** Tells whether some replica lags so little that a switchover blocks writes only briefly. */
    private static boolean hasSuccessor(
            GroupState state, BackendServerName primary, List<BackendServerName> reachable, Instant now) {
        Instant lagLimit = now.minus(FailoverTiming.MAXIMUM_SWITCHOVER_LAG);
        return reachable.stream()
                .filter(name ->
                        !name.equals(primary) && !state.isLeaving(name) && isReplicatingCurrentTerm(state, name))
                .flatMap(name -> state.statusOf(name).stream())
                .anyMatch(status -> state.view().samples().stream()
                        .anyMatch(sample -> sample.position() <= status.position()
                                && !sample.requestSentAt().isBefore(lagLimit)));
    }
}
