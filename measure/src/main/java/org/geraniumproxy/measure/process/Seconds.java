package org.geraniumproxy.measure.process;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;

/** Formats durations as seconds with three decimals. */
public final class Seconds {
    private Seconds() {}

    /**
     * Formats a duration.
     *
     * @param duration duration to format
     * @return seconds with three decimals
     */
    public static String format(Duration duration) {
        return String.format(Locale.ROOT, "%.3f", duration.toNanos() / 1e9);
    }

    /**
     * Formats the time between two instants.
     *
     * @param from start
     * @param to end, which may precede the start
     * @return seconds with three decimals
     */
    public static String between(Instant from, Instant to) {
        return format(Duration.between(from, to));
    }
}
