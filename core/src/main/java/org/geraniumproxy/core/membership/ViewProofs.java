package org.geraniumproxy.core.membership;

import java.time.Instant;
import java.util.Optional;

/**
 * Times at which a view was proven to be current, each the start of the exchange that proved it.
 *
 * @param manifest start of the newest read of the manifest from the store
 * @param roster start of the newest read of the roster from the store
 * @param peer newest proof passed on by a peer, on this VM's clock
 */
record ViewProofs(Optional<Instant> manifest, Optional<Instant> roster, Optional<Instant> peer) {
    static final ViewProofs NONE = new ViewProofs(Optional.empty(), Optional.empty(), Optional.empty());

    /** Returns the proof by the store. It needs both reads, and the older one counts. */
    Optional<Instant> store() {
        return manifest.flatMap(read -> roster.map(other -> read.isBefore(other) ? read : other));
    }

    ViewProofs manifestRead(Instant requestSentAt) {
        return new ViewProofs(newest(manifest, requestSentAt), roster, peer);
    }

    ViewProofs rosterRead(Instant requestSentAt) {
        return new ViewProofs(manifest, newest(roster, requestSentAt), peer);
    }

    ViewProofs peerProved(Instant provenAt) {
        return new ViewProofs(manifest, roster, newest(peer, provenAt));
    }

    private static Optional<Instant> newest(Optional<Instant> known, Instant candidate) {
        return known.filter(moment -> moment.isAfter(candidate)).or(() -> Optional.of(candidate));
    }
}
