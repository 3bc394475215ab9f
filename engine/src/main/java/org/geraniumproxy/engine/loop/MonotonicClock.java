package org.geraniumproxy.engine.loop;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * Monotonic clock based on {@link System#nanoTime}. Its instants count from the creation of the clock and cannot be
 * compared with those of another VM. Durations are measured with it because the wall clock of a VM may jump by seconds.
 */
public final class MonotonicClock extends Clock {
    private final long startNanoseconds = System.nanoTime();

    @Override
    public Instant instant() {
        return Instant.EPOCH.plusNanos(System.nanoTime() - startNanoseconds);
    }

    @Override
    public ZoneId getZone() {
        return ZoneOffset.UTC;
    }

    @Override
    public Clock withZone(ZoneId zone) {
        return this;
    }
}
