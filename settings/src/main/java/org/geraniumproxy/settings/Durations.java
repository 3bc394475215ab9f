package org.geraniumproxy.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats durations with a unit, as used in settings, configuration and command lines. */
public final class Durations {
    /** Description of the format for error messages. */
    public static final String FORMAT_DESCRIPTION = "a duration in ms, s or m, such as \"250ms\", \"2s\" or \"1m\"";

    /** Nine digits of the largest unit can't overflow a {@link Duration}. */
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m)");

    private Durations() {}

    /**
     * Parses a duration.
     *
     * @param text a text such as {@code "250ms"}, {@code "2s"} or {@code "1m"}
     * @return the duration, or empty if the unit is missing or the text is not a duration
     */
    public static Optional<Duration> parse(String text) {
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        long number = Long.parseLong(matcher.group(1));
        return Optional.of(
                switch (matcher.group(2)) {
                    case "ms" -> Duration.ofMillis(number);
                    case "s" -> Duration.ofSeconds(number);
                    default -> Duration.ofMinutes(number);
                });
    }

    /**
     * Formats a duration.
     *
     * @param duration the duration, at millisecond precision
     * @return the duration in whole seconds if possible, otherwise in milliseconds
     */
    public static String format(Duration duration) {
        return duration.toMillis() % 1000 == 0 ? duration.toSeconds() + "s" : duration.toMillis() + "ms";
    }
}
