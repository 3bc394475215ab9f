package org.geraniumproxy.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.identity.VmName;

/** What changes a VM's view of configuration and roster. */
public sealed interface ViewEvent {
    /**
     * The store was asked for the manifest.
     *
     * @param requestSentAt moment at which the request was sent
     * @param configuration the configuration that the manifest names
     */
    record ManifestRead(Instant requestSentAt, KnownConfiguration configuration) implements ViewEvent {}

    /**
     * The store was asked for the roster.
     *
     * @param requestSentAt moment at which the request was sent
     * @param roster the roster
     */
    record RosterRead(Instant requestSentAt, Roster roster) implements ViewEvent {}

    /**
     * A peer answered a view exchange.
     *
     * @param vm the peer
     * @param requestSentAt moment at which the request was sent
     * @param configurationRevision revision of the configuration that the peer knows
     * @param rosterRevision revision of the roster that the peer knows
     * @param age age of the peer's proven view when it answered, or empty if it has none
     * @param mayVote whether the peer's answer counts as a vote
     * @param leaving whether the peer is leaving
     * @param configuration the peer's configuration if it is newer
     * @param roster the peer's roster if it is newer
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
     * A peer asked for a view exchange, which counts as a heartbeat.
     *
     * @param vm the peer
     * @param leaving whether the peer is leaving
     */
    record PeerRequested(VmName vm, boolean leaving) implements ViewEvent {}

    /** Time has passed. */
    record TimePassed() implements ViewEvent {}

    /** This process is being stopped. */
    record DrainStarted() implements ViewEvent {}
}
