package org.geraniumproxy.measure.bench;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Point in time at which waiting ends.
 *
 * @param clock clock to compare with
 * @param end end of the wait
 */
public record Deadline(Clock clock, Instant end) {
    /**
     * Creates a deadline relative to the current time.
     *
     * @param clock clock to compare with
     * @param time time from now
     * @return the deadline
     */
    public static Deadline after(Clock clock, Duration time) {
        return new Deadline(clock, clock.instant().plus(time));
    }

    /**
     * Returns whether the deadline has passed.
     *
     * @return true from the end on
     */
    public boolean hasPassed() {
        return !clock.instant().isBefore(end);
    }
}
