package org.geraniumproxy.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.identity.VmName;

/** Inputs that change a VM's view of configuration and roster. */
public sealed interface ViewEvent {
    /**
     * The manifest was read from the store.
     *
     * @param requestSentAt time at which the request was sent
     * @param configuration configuration that the manifest refers to
     */
    record ManifestRead(Instant requestSentAt, KnownConfiguration configuration) implements ViewEvent {}

    /**
     * The roster was read from the store.
     *
     * @param requestSentAt time at which the request was sent
     * @param roster roster in the store
     */
    record RosterRead(Instant requestSentAt, Roster roster) implements ViewEvent {}

    /**
     * A peer answered a view exchange.
     *
     * @param vm peer that answered
     * @param requestSentAt time at which the request was sent
     * @param configurationRevision configuration revision that the peer knows
     * @param rosterRevision roster revision that the peer knows
     * @param age age of the peer's view when it answered, or empty if the peer has no proof
     * @param mayVote whether the peer's answer counts as a vote
     * @param leaving whether the peer is shutting down
     * @param configuration the peer's configuration if it is newer than this VM's
     * @param roster the peer's roster if it is newer than this VM's
     */
    record PeerReplied(
            VmName vm,
            Instant requestSentAt,
            long configurationRevision,
            long rosterRevision,
            Optional<Duration> age,
            boolean mayVote,
            boolean leaving,
            Optional<KnownConfiguration> configuration,
            Optional<Roster> roster)
            implements ViewEvent {}

    /**
     * A peer requested a view exchange, which counts as a heartbeat.
     *
     * @param vm peer that sent the request
     * @param leaving whether the peer is shutting down
     */
    record PeerRequested(VmName vm, boolean leaving) implements ViewEvent {}

    /** Periodic tick. */
    record TimePassed() implements ViewEvent {}

    /** This process began to drain before it stops. */
    record DrainStarted() implements ViewEvent {}
}
