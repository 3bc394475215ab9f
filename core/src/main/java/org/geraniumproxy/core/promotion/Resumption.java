package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * Replicas that may have been stopped by an attempt and not resumed, by this holder of the duty or an earlier one. A
 * replica that stays stopped confirms nothing and falls behind, so it is asked for its state, and told to receive,
 * until it says that it does.
 *
 * @param pending the replicas, or empty if any replica of the group may be stopped
 * @param retryAt moment at which they are told again
 */
record Resumption(Optional<Set<BackendServerName>> pending, Instant retryAt) {
    /** Term under which answers to the command to receive are told from those of an attempt; no term is zero. */
    static final long NO_TERM = 0;

    /**
     * Pause before a replica that did not answer is asked again. An attempt to replace the primary waits while a
     * command is under way, so the commands to a replica that is down are few.
     */
    static final Duration RETRY_DELAY = Duration.ofSeconds(5);

    /** Any replica of the group may be stopped. */
    static final Resumption ALL_REPLICAS = new Resumption(Optional.empty(), Instant.MIN);

    Resumption {
        pending = pending.map(Set::copyOf);
    }

    /** The replicas that are told now; none before the next moment. */
    Set<BackendServerName> due(Set<BackendServerName> replicas, Instant now) {
        if (now.isBefore(retryAt)) {
            return Set.of();
        }
        Set<BackendServerName> due = new HashSet<>(pending.orElse(replicas));
        due.retainAll(replicas);
        return due;
    }

    /** Tells whether a command to receive may still arrive at a replica. */
    boolean isCommandInFlight(Instant now) {
        boolean unanswered = pending.map(replicas -> !replicas.isEmpty()).orElse(false);
        return unanswered && now.isBefore(retryAt.minus(RETRY_DELAY).plus(PromotionState.COMMAND_TIMEOUT));
    }

    Resumption asked(Set<BackendServerName> replicas, Instant now) {
        return new Resumption(Optional.of(replicas), now.plus(RETRY_DELAY));
    }

    Resumption without(BackendServerName replica) {
        Set<BackendServerName> remaining = new HashSet<>(pending.orElse(Set.of()));
        remaining.remove(replica);
        return new Resumption(Optional.of(remaining), retryAt);
    }
}
