package org.geraniumproxy.engine.loop;

import java.time.Clock;
import java.time.Duration;
import java.util.function.LongSupplier;

/**
 * Notices that the time of day and the monotonic clock have drifted apart. The monotonic clock stands still while a VM
 * is suspended, so what was learned before looks younger than it is; a jump of the time of day looks the same and costs
 * no more than learning anew.
 */
public final class ClockJumpDetector {
    /** Drift that counts as a jump; above the jitter of two readings, below any accepted age of data. */
    private static final Duration MAXIMUM_DRIFT = Duration.ofMillis(60);

    private final Clock clock;
    private final LongSupplier timeOfDayMilliseconds;
    private long offsetMilliseconds;

    /**
     * Creates a detector.
     *
     * @param clock the clock that never jumps
     * @param timeOfDayMilliseconds the time of day
     */
    public ClockJumpDetector(Clock clock, LongSupplier timeOfDayMilliseconds) {
        this.clock = clock;
        this.timeOfDayMilliseconds = timeOfDayMilliseconds;
        this.offsetMilliseconds = currentOffsetMilliseconds();
    }

    /**
     * Tells whether the clocks have drifted apart since the last call that returned true.
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
