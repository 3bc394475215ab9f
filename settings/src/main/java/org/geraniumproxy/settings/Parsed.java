package org.geraniumproxy.settings;

import java.util.Optional;

/**
 * Result of converting one value.
 *
 * @param <T> type of the converted value
 */
sealed interface Parsed<T> {
    /** The value could be converted. */
    record Valid<T>(T value) implements Parsed<T> {}

    /** The value could not be converted. */
    record Invalid<T>(Problem problem) implements Parsed<T> {}

    static <T> Parsed<T> valid(T value) {
        return new Valid<>(value);
    }

    static <T> Parsed<T> invalid(Problem problem) {
        return new Invalid<>(problem);
    }

    static <T> Parsed<T> of(Optional<T> value, Problem problemIfEmpty) {
        return value.map(Parsed::valid).orElseGet(() -> invalid(problemIfEmpty));
    }
}
