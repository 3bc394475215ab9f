package org.geraniumproxy.measure.stop;

import java.time.Duration;
import java.time.Instant;
import java.util.Locale;

/** Formats durations as seconds with three decimals. */
final class Seconds {
    private Seconds() {}

    static String format(Duration duration) {
        return String.format(Locale.ROOT, "%.3f", duration.toNanos() / 1e9);
    }

    static String between(Instant from, Instant to) {
        return format(Duration.between(from, to));
    }
}
