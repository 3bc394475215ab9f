package org.geraniumproxy.measure.bench;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * A moment until which something is awaited.
 *
 * @param clock the clock
 * @param end the moment
 */
public record Deadline(Clock clock, Instant end) {
    /**
     * Returns a deadline after a time.
     *
     * @param clock the clock
     * @param time the time
     * @return the deadline
     */
    public static Deadline after(Clock clock, Duration time) {
        return new Deadline(clock, clock.instant().plus(time));
    }

    /**
     * Tells whether the deadline has passed.
     *
     * @return true if it has
     */
    public boolean hasPassed() {
        return !clock.instant().isBefore(end);
    }
}
