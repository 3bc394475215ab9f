package org.geraniumproxy.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.identity.Names;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** Value types of settings and configuration files. */
final class ValueTypes {
    static final ValueType<Boolean> BOOLEAN = simple("true or false", Boolean.class, Optional::of, ValueTypes::quote);
    static final ValueType<String> TEXT = simple(
            "a text that is not empty",
            String.class,
            text -> Optional.of(text).filter(value -> !value.isBlank()),
            ValueTypes::quote);
    static final ValueType<HostAndPort> ADDRESS =
            simple("an address such as \"127.0.0.1:7100\"", String.class, HostAndPort::parse, ValueTypes::quote);

    /** Errors do not contain the value, because it may be a key that was pasted in place of its digest. */
    static final ValueType<KeyDigest> KEY_DIGEST = simple(
            "the 64 lower-case hexadecimal digits that \"geraniumctl keys digest\" prints",
            String.class,
            text -> Optional.of(text).filter(KeyDigest::isValid).map(KeyDigest::new),
            value -> "a text of " + value.toString().length() + " characters");

    static final ValueType<String> NAME = name(text -> text);
    static final ValueType<TomlArray> ARRAY = simple("an array", TomlArray.class, Optional::of, ValueTypes::quote);
    static final ValueType<TomlTable> TABLE = simple("a table", TomlTable.class, Optional::of, ValueTypes::quote);

    private ValueTypes() {}

    static <T> ValueType<T> name(Function<String, T> factory) {
        return simple(
                "a name of 1 to 64 letters, digits, dots, dashes or underscores",
                String.class,
                text -> Optional.of(text).filter(Names::isValid).map(factory),
                ValueTypes::quote);
    }

    static ValueType<Integer> integer(int minimum, int maximum) {
        return simple(
                "a whole number from " + minimum + " to " + maximum,
                Long.class,
                number -> number >= minimum && number <= maximum ? Optional.of(number.intValue()) : Optional.empty(),
                Object::toString);
    }

    /** Also accepts whole numbers, because {@code rate = 40} is unambiguous. */
    static ValueType<Double> numberAbove(double exclusiveMinimum) {
        return simple(
                "a number above " + exclusiveMinimum + ", such as 0.5 or 40.0",
                Number.class,
                number -> Optional.of(number.doubleValue())
                        .filter(value -> value > exclusiveMinimum && !Double.isInfinite(value)),
                Object::toString);
    }

    static <T> ValueType<T> parsedText(String expected, Function<String, Optional<T>> parser) {
        return simple(expected, String.class, parser, ValueTypes::quote);
    }

    static ValueType<Duration> duration(Duration minimum, Duration maximum) {
        return new DurationType(minimum, maximum);
    }

    static String quote(Object value) {
        return value instanceof String ? "\"" + value + "\"" : value.toString();
    }

    static String describeType(Object value) {
        return switch (value) {
            case String ignored -> "a text";
            case Long ignored -> "a whole number";
            case Double ignored -> "a number";
            case Boolean ignored -> "true or false";
            case TomlArray ignored -> "an array";
            case TomlTable ignored -> "a table";
            default -> "a date or time";
        };
    }

    private static <S, T> ValueType<T> simple(
            String expected, Class<S> sourceType, Function<S, Optional<T>> parser, Function<Object, String> display) {
        return new SimpleType<>(expected, sourceType, parser, display);
    }

    private record SimpleType<S, T>(
            String expected, Class<S> sourceType, Function<S, Optional<T>> parser, Function<Object, String> display)
            implements ValueType<T> {
        @Override
        public ParseResult<T> parse(String name, Object value) {
            if (!sourceType.isInstance(value)) {
                return ParseResult.invalid(new Problem.WrongType(name, describeType(value), expected));
            }
            return ParseResult.of(
                    parser.apply(sourceType.cast(value)), new Problem.WrongValue(name, display.apply(value), expected));
        }
    }
}
