package org.geraniumproxy.standin.runtime;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.protocol.FaultRequest;

/**
 * The injected faults of a stand-in.
 *
 * @param delay delay before each call takes effect
 * @param down whether every call fails
 * @param lostReplies number of calls that are still to take effect and then fail
 * @param isolated whether the stand-in neither sends nor accepts anything
 * @param replicationLag overrides the configured lag, empty to keep it
 * @param leaving whether a database reports that it is about to shut down
 */
public record Faults(
        Duration delay,
        boolean down,
        int lostReplies,
        boolean isolated,
        Optional<Duration> replicationLag,
        boolean leaving) {
    /** No fault. */
    public static final Faults NONE = new Faults(Duration.ZERO, false, 0, false, Optional.empty(), false);

    /**
     * Decodes a fault request. Each request replaces all faults of the stand-in.
     *
     * @param request the request; a replication lag of zero means no override
     * @return the faults
     */
    public static Faults of(FaultRequest request) {
        Optional<Duration> lag = request.getReplicationLagMillis() > 0
                ? Optional.of(Duration.ofMillis(request.getReplicationLagMillis()))
                : Optional.empty();
        return new Faults(
                Duration.ofMillis(request.getDelayMillis()),
                request.getDown(),
                request.getLoseReplies(),
                request.getIsolated(),
                lag,
                request.getLeaving());
    }

    /**
     * Returns these faults with one reply fewer to lose.
     *
     * @return the remaining faults
     */
    public Faults afterLostReply() {
        return new Faults(delay, down, lostReplies - 1, isolated, replicationLag, leaving);
    }
}
