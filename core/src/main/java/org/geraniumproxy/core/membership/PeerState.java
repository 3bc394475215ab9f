package org.geraniumproxy.core.membership;

import java.time.Instant;
import java.util.Optional;

/**
 * Liveness and last vote of a peer.
 *
 * @param lastHeardAt time of the last message from the peer, or the time at which it became known
 * @param votedAt start of the latest exchange in which the peer had no newer revision than this VM, or empty
 * @param leaving whether the peer has announced its shutdown
 */
public record PeerState(Instant lastHeardAt, Optional<Instant> votedAt, boolean leaving) {
    /**
     * Returns the state of a peer that has just become known.
     *
     * @param now current time
     * @return state without a vote
     */
    static PeerState initial(Instant now) {
        return new PeerState(now, Optional.empty(), false);
    }

    PeerState withContact(Instant now, boolean leaving) {
        return new PeerState(now, votedAt, leaving);
    }

    PeerState voted(Instant requestSentAt) {
        boolean newer = votedAt.map(requestSentAt::isAfter).orElse(true);
        return newer ? new PeerState(lastHeardAt, Optional.of(requestSentAt), leaving) : this;
    }
}
