package org.geraniumproxy.settings;

import java.time.Duration;
import java.util.Optional;

/**
 * A duration with a unit, such as {@code "250ms"}, {@code "2s"} or {@code "1m"}.
 *
 * @param minimum minimum, inclusive
 * @param maximum maximum, inclusive
 */
record DurationType(Duration minimum, Duration maximum) implements ValueType<Duration> {
    @Override
    public String expected() {
        return Durations.FORMAT_DESCRIPTION + ", from " + Durations.format(minimum) + " to "
                + Durations.format(maximum);
    }

    @Override
    public ParseResult<Duration> parse(String name, Object value) {
        if (value instanceof Number) {
            return ParseResult.invalid(new Problem.WrongUnit(name, value.toString(), expected()));
        }
        if (!(value instanceof String text)) {
            return ParseResult.invalid(new Problem.WrongType(name, ValueTypes.describeType(value), expected()));
        }
        Optional<Duration> duration = Durations.parse(text);
        if (duration.isEmpty()) {
            return ParseResult.invalid(new Problem.WrongUnit(name, ValueTypes.quote(text), expected()));
        }
        boolean inRange =
                duration.get().compareTo(minimum) >= 0 && duration.get().compareTo(maximum) <= 0;
        return inRange
                ? ParseResult.valid(duration.get())
                : ParseResult.invalid(new Problem.WrongValue(name, ValueTypes.quote(text), expected()));
    }
}
