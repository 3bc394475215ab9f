package org.geraniumproxy.core.membership;

import java.time.Instant;
import java.util.Optional;

/**
 * What a VM knows about one of its peers.
 *
 * @param lastHeardAt moment at which the peer was last heard, or at which it became known
 * @param votedAt start of the newest exchange in which the peer knew nothing newer than this VM, or empty
 * @param leaving whether the peer has announced that it is leaving
 */
public record PeerState(Instant lastHeardAt, Optional<Instant> votedAt, boolean leaving) {
    /**
     * Returns the state of a peer that has just become known.
     *
     * @param now the present moment
     * @return the state
     */
    static PeerState initial(Instant now) {
        return new PeerState(now, Optional.empty(), false);
    }

    PeerState heard(Instant now, boolean leaving) {
        return new PeerState(now, votedAt, leaving);
    }

    PeerState voted(Instant requestSentAt) {
        boolean newer = votedAt.map(requestSentAt::isAfter).orElse(true);
        return newer ? new PeerState(lastHeardAt, Optional.of(requestSentAt), leaving) : this;
    }
}
