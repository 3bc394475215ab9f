package org.geraniumproxy.engine.loop;

import java.time.Clock;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Detects that the wall clock and the monotonic clock have drifted apart. The monotonic clock stops while a VM is
 * suspended, so that data received before the suspension appears more recent than it is. A jump of the wall clock
 * cannot be told from a suspension; it only causes an unnecessary refresh of that data.
 */
public final class ClockJumpDetector {
    /**
     * Larger drift counts as a jump. Above the jitter between two clock readings and below every accepted age of data.
     */
    private static final Duration MAXIMUM_DRIFT = Duration.ofMillis(60);

    private final Clock clock;
    private final LongSupplier timeOfDayMilliseconds;
    private long offsetMilliseconds;

    /**
     * Creates a detector whose baseline is the current offset between the clocks.
     *
     * @param clock monotonic clock
     * @param timeOfDayMilliseconds wall clock, in milliseconds since the epoch
     */
    public ClockJumpDetector(Clock clock, LongSupplier timeOfDayMilliseconds) {
        this.clock = clock;
        this.timeOfDayMilliseconds = timeOfDayMilliseconds;
        this.offsetMilliseconds = currentOffsetMilliseconds();
    }

    /**
     * Returns whether the clocks have drifted apart since the creation of the detector or the last call that returned
     * true.
     *
     * @return true once for each jump
     */
    public boolean hasJumped() {
        long offset = currentOffsetMilliseconds();
        if (Math.abs(offset - offsetMilliseconds) <= MAXIMUM_DRIFT.toMillis()) {
            return false;
        }
        offsetMilliseconds = offset;
        return true;
    }

    private long currentOffsetMilliseconds() {
        return timeOfDayMilliseconds.getAsLong() - clock.millis();
    }
}
