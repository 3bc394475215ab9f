package org.geraniumproxy.core.pool;

import java.time.Duration;

/**
 * Load of a database at the VM that owns the queue in front of it.
 *
 * @param slotsInUse granted slots
 * @param waiting requests that wait for a slot
 * @param serviceTime expected slot time of a statement of cost 1
 */
public record PoolLoad(int slotsInUse, int waiting, Duration serviceTime) {
    /** Shortest retry-after time; an earlier request would find the same queue. */
    private static final Duration MINIMUM_RETRY_AFTER = Duration.ofMillis(10);

    /**
     * Returns the time after which the present queue has been served.
     *
     * @param slots number of slots
     * @param spread number from 0 to 1, by which callers that are refused together come back at different times
     * @return expected time, multiplied by 1 to 2
     */
    public Duration retryAfter(int slots, double spread) {
        double turns = (double) (waiting + slotsInUse) / Math.max(1, slots);
        Duration expected = Duration.ofNanos(Math.round(serviceTime.toNanos() * turns));
        Duration base = expected.compareTo(MINIMUM_RETRY_AFTER) > 0 ? expected : MINIMUM_RETRY_AFTER;
        return base.plus(Duration.ofNanos(Math.round(base.toNanos() * spread)));
    }
}
