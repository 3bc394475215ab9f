package org.geraniumproxy.settings;

/**
 * Converts one TOML value and checks it.
 *
 * @param <T> type of the converted value
 */
interface ValueType<T> {
    /**
     * Describes what the value must be.
     *
     * @return a noun phrase such as {@code an address such as "127.0.0.1:7100"}
     */
    String expected();

    /**
     * Converts the value.
     *
     * @param name the name of the value, for findings
     * @param value the value as the parser returns it
     * @return the converted value or the problem with it
     */
    ParseResult<T> parse(String name, Object value);
}
