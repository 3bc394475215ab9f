package org.geraniumproxy.core.pool;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.identity.VmName;

/**
 * Chooses the owner that a VM asks for a connection. The only place that makes this choice.
 *
 * @param avoidedUntil time until which an owner that failed is not asked
 * @param roundTrips expected time between a request to an owner and its first response
 * @param responseMargin time beyond the round trip in which a running owner responds
 */
public record OwnerSelection(
        Map<VmName, Instant> avoidedUntil, Map<VmName, Duration> roundTrips, Duration responseMargin) {

    /** Time for which an owner that failed is not asked: a restarted process takes about as long. */
    static final Duration AVOIDANCE = Duration.ofSeconds(1);

    /** Covers a pause of the owner for garbage collection. */
    public static final Duration RESPONSE_MARGIN = Duration.ofMillis(100);

    /** Round trip of an owner that was never asked; covers a connection setup between regions. */
    static final Duration INITIAL_ROUND_TRIP = Duration.ofMillis(100);

    /** Weight of a sample is 1 / 8, as in the round-trip estimate of TCP. */
    private static final int SMOOTHING_DIVISOR = 8;

    /** Copies the maps. */
    public OwnerSelection {
        avoidedUntil = Map.copyOf(avoidedUntil);
        roundTrips = Map.copyOf(roundTrips);
    }

    /**
     * Returns the selection before any owner was asked.
     *
     * @param responseMargin time beyond the round trip in which a running owner responds
     * @return selection that avoids no owner
     */
    public static OwnerSelection initial(Duration responseMargin) {
        return new OwnerSelection(Map.of(), Map.of(), responseMargin);
    }

    /**
     * Returns the owner to ask.
     *
     * @param owners owners that have not been asked, in the order of preference
     * @param now current time
     * @return the first owner that is not avoided; empty if the VM must use its own connections
     */
    public Optional<VmName> next(List<VmName> owners, Instant now) {
        return owners.stream()
                .filter(owner -> !now.isBefore(avoidedUntil.getOrDefault(owner, Instant.MIN)))
                .findFirst();
    }

    /**
     * Returns the time within which an owner must respond.
     *
     * @param owner the owner
     * @return round trip and margin
     */
    public Duration responseTimeout(VmName owner) {
        return roundTrips.getOrDefault(owner, INITIAL_ROUND_TRIP).plus(responseMargin);
    }

    /**
     * Records that an owner did not respond, stops, or lost its stream.
     *
     * @param owner the owner
     * @param now current time
     * @return selection that avoids the owner
     */
    public OwnerSelection avoid(VmName owner, Instant now) {
        Map<VmName, Instant> next = new HashMap<>(avoidedUntil);
        next.values().removeIf(until -> !now.isBefore(until));
        next.put(owner, now.plus(AVOIDANCE));
        return new OwnerSelection(next, roundTrips, responseMargin);
    }

    /**
     * Records the first response to a request.
     *
     * @param owner the owner
     * @param roundTrip time since the request
     * @return selection with the updated expectation
     */
    public OwnerSelection responded(VmName owner, Duration roundTrip) {
        Map<VmName, Duration> next = new HashMap<>(roundTrips);
        next.merge(
                owner,
                roundTrip,
                (known, sample) -> known.plus(sample.minus(known).dividedBy(SMOOTHING_DIVISOR)));
        return new OwnerSelection(avoidedUntil, next, responseMargin);
    }
}
