package org.geraniumproxy.core.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * Replicas that an attempt of this or an earlier lease holder may have left stopped. A stopped replica confirms no
 * commit and falls behind, so it is queried, and resumed if needed, until its status shows that it receives.
 *
 * @param pending replicas to query, or empty if any replica of the group may be stopped
 * @param retryAt time at which they are queried again
 */
record Resumption(Optional<Set<BackendServerName>> pending, Instant retryAt) {
    /** Delay before a replica is queried again. */
    static final Duration RETRY_DELAY = Duration.ofSeconds(5);

    /** Any replica of the group may be stopped. */
    static final Resumption ALL_REPLICAS = new Resumption(Optional.empty(), Instant.MIN);

    Resumption {
        pending = pending.map(Set::copyOf);
    }

    /** Returns the replicas to query now, none before the retry time, in a set that may be changed. */
    Set<BackendServerName> due(Set<BackendServerName> replicas, Instant now) {
        if (now.isBefore(retryAt)) {
            return new HashSet<>();
        }
        Set<BackendServerName> due = new HashSet<>(pending.orElse(replicas));
        due.retainAll(replicas);
        return due;
    }

    /** Returns the state after some replicas were queried, while others that may be stopped, too, must not be. */
    Resumption queried(Set<BackendServerName> replicas, Set<BackendServerName> postponed, Instant now) {
        Set<BackendServerName> remaining = new HashSet<>(pending.orElse(postponed));
        remaining.retainAll(postponed);
        remaining.addAll(replicas);
        return new Resumption(Optional.of(remaining), now.plus(RETRY_DELAY));
    }

    Resumption without(BackendServerName replica) {
        Set<BackendServerName> remaining = new HashSet<>(pending.orElse(Set.of()));
        remaining.remove(replica);
        return new Resumption(Optional.of(remaining), retryAt);
    }
}
