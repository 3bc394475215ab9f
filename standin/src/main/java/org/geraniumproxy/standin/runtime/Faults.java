package org.geraniumproxy.standin.runtime;

import java.time.Duration;
import java.util.Optional;
import org.geraniumproxy.protocol.FaultRequest;

/**
 * Faults that are in force at a stand-in.
 *
 * @param delay delay of each call before it takes effect
 * @param down whether every call fails
 * @param lostReplies number of calls that still take effect and then fail
 * @param isolated whether a database neither sends nor accepts anything
 * @param replicationLag lag that replaces the configured one, if any
 * @param leaving whether a database reports that it is about to leave
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
     * Reads the faults from a message. Each message replaces all faults of the stand-in.
     *
     * @param request the message
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
     * Returns these faults with one lost reply less.
     *
     * @return the faults after a reply was lost
     */
    public Faults afterLostReply() {
        return new Faults(delay, down, lostReplies - 1, isolated, replicationLag, leaving);
    }
}
