package org.geraniumproxy.settings;

/**
 * Converts and validates one TOML value.
 *
 * @param <T> type of the converted value
 */
interface ValueType<T> {
    /**
     * Describes the valid values.
     *
     * @return a noun phrase such as {@code an address such as "127.0.0.1:7100"}
     */
    String expected();

    /**
     * Converts the value.
     *
     * @param name key of the value, for findings
     * @param value value as the TOML parser returns it
     * @return the converted value or the problem
     */
    ParseResult<T> parse(String name, Object value);
}
