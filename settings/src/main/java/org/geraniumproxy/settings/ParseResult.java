package org.geraniumproxy.settings;

import java.util.Optional;

/**
 * Result of converting one TOML value.
 *
 * @param <T> type of the converted value
 */
sealed interface ParseResult<T> {
    /** The value is valid. */
    record Valid<T>(T value) implements ParseResult<T> {}

    /** The value is invalid. */
    record Invalid<T>(Problem problem) implements ParseResult<T> {}

    static <T> ParseResult<T> valid(T value) {
        return new Valid<>(value);
    }

    static <T> ParseResult<T> invalid(Problem problem) {
        return new Invalid<>(problem);
    }

    static <T> ParseResult<T> of(Optional<T> value, Problem problemIfEmpty) {
        return value.map(ParseResult::valid).orElseGet(() -> invalid(problemIfEmpty));
    }
}
