package org.geraniumproxy.core.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.directory.DatabaseEntry;
import org.geraniumproxy.core.directory.DatabaseHealth;
import org.geraniumproxy.core.directory.GroupDirectory;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.promotion.PromotionReason;

/** Decides whether the primary of a group must be replaced. */
public final class PrimaryReplacementPolicy {
    /**
     * Time without an answer after which a VM reports the primary; leaves several round trips between regions beyond
     * the probe timeout.
     */
    static final Duration FAILURE_TIMEOUT = Duration.ofMillis(300);

    /** Time without an acknowledged commit after which the primary counts as partitioned from its replicas. */
    static final Duration COMMIT_FAILURE_TIMEOUT = Duration.ofMillis(700);

    /**
     * Time after which a primary without an entry is replaced. Entries that expired during a store outage return within
     * 2 s of its end.
     */
    static final Duration MISSING_ENTRY_TIMEOUT = Duration.ofMillis(2500);

    private PrimaryReplacementPolicy() {}

    /**
     * Returns why the primary of a group must be replaced. A VM that is the only one without answers is probably
     * partitioned itself, so its own observation needs confirmation by another VM if any is reachable. A group that is
     * evacuated as a whole has no database that may be promoted, so its primary stays.
     *
     * @param state what this VM knows
     * @param group name of the group
     * @param now current time
     * @return reason, or empty if the primary stays or the group has no databases
     */
    public static Optional<PromotionReason> reason(FleetState state, GroupName group, Instant now) {
        GroupDirectory directory = state.members(group);
        if (directory.databases().isEmpty()) {
            return Optional.empty();
        }
        Set<BackendServerName> evacuated = state.evacuated(group);
        if (evacuated.containsAll(directory.databases().keySet())) {
            return Optional.empty();
        }
        Optional<DatabaseEntry> primary = directory.primary();
        if (primary.isEmpty()) {
            return Optional.of(PromotionReason.NONE_LEADS);
        }
        BackendServerName name = primary.get().name();
        Optional<PromotionReason> failure = failure(state, group, name, now);
        if (primary.get().draining()) {
            boolean serves = state.isUsed(name) && failure.isEmpty();
            return Optional.of(serves ? PromotionReason.LEAVING : PromotionReason.LEFT);
        }
        if (failure.isPresent()) {
            return failure;
        }
        if (state.missingDuration(name, now).compareTo(MISSING_ENTRY_TIMEOUT) > 0) {
            return Optional.of(PromotionReason.MISSING);
        }
        return evacuated.contains(name)
                ? Optional.of(state.isUsed(name) ? PromotionReason.EVACUATING : PromotionReason.EVACUATED)
                : Optional.empty();
    }

    /**
     * Returns how a primary is failing, if it is. If this VM sees it, one other VM must confirm it; if not, more than
     * half of the reachable watchers of the group must see it, and at least two.
     */
    private static Optional<PromotionReason> failure(
            FleetState state, GroupName group, BackendServerName primary, Instant now) {
        DatabaseHealth own = state.lastReport().health().getOrDefault(primary, DatabaseHealth.UNUSED);
        boolean ownFailing = hasLasted(own.failingSince(), FAILURE_TIMEOUT, now)
                || hasLasted(own.commitsFailingSince(), COMMIT_FAILURE_TIMEOUT, now);
        Set<VmName> reachable = state.reachablePeers(now);
        Set<VmName> agreeing = state.peersSeeingFailure(primary, FAILURE_TIMEOUT, COMMIT_FAILURE_TIMEOUT, now);
        if (ownFailing) {
            return agreeing.isEmpty() && !reachable.isEmpty() ? Optional.empty() : Optional.of(PromotionReason.FAILING);
        }
        Set<VmName> watchers = state.watchersOf(group);
        long observing =
                reachable.stream().filter(watchers::contains).count() + (watchers.contains(state.self()) ? 1 : 0);
        long failing = agreeing.stream().filter(watchers::contains).count();
        return failing >= 2 && failing * 2 > observing
                ? Optional.of(PromotionReason.FAILING_FOR_OTHERS)
                : Optional.empty();
    }

    private static boolean hasLasted(Optional<Instant> since, Duration minimum, Instant now) {
        return since.map(moment -> Duration.between(moment, now).compareTo(minimum) >= 0)
                .orElse(false);
    }
}
