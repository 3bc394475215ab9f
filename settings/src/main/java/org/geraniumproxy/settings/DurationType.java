package org.geraniumproxy.settings;

import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A duration with its unit, such as {@code "250ms"}, {@code "2s"} or {@code "1m"}.
 *
 * @param minimum least duration that is allowed
 * @param maximum greatest duration that is allowed
 */
record DurationType(Duration minimum, Duration maximum) implements ValueType<Duration> {
    private static final String UNITS = "a duration in ms, s or m, such as \"250ms\", \"2s\" or \"1m\"";

    /** Nine digits of the largest unit stay far below the range of a duration. */
    private static final Pattern DURATION = Pattern.compile("(\\d{1,9})(ms|s|m)");

    @Override
    public String expected() {
        return UNITS + ", from " + format(minimum) + " to " + format(maximum);
    }

    @Override
    public Parsed<Duration> parse(String name, Object value) {
        if (value instanceof Number) {
            return Parsed.invalid(new Problem.WrongUnit(name, value.toString(), expected()));
        }
        if (!(value instanceof String text)) {
            return Parsed.invalid(new Problem.WrongType(name, ValueTypes.typeOf(value), expected()));
        }
        Matcher matcher = DURATION.matcher(text);
        if (!matcher.matches()) {
            return Parsed.invalid(new Problem.WrongUnit(name, ValueTypes.quote(text), expected()));
        }
        Duration duration = duration(Long.parseLong(matcher.group(1)), matcher.group(2));
        if (duration.compareTo(minimum) < 0 || duration.compareTo(maximum) > 0) {
            return Parsed.invalid(new Problem.WrongValue(name, ValueTypes.quote(text), expected()));
        }
        return Parsed.valid(duration);
    }

    private static Duration duration(long number, String unit) {
        return switch (unit) {
            case "ms" -> Duration.ofMillis(number);
            case "s" -> Duration.ofSeconds(number);
            default -> Duration.ofMinutes(number);
        };
    }

    private static String format(Duration duration) {
        return duration.toMillis() % 1000 == 0 ? duration.toSeconds() + "s" : duration.toMillis() + "ms";
    }
}
