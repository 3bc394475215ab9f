package org.geraniumproxy.engine.loop;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that never jumps. Its instants are meaningful on this VM only. The time of day of a VM may jump by seconds,
 * so no duration is taken from it.
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
