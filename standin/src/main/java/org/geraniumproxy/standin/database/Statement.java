package org.geraniumproxy.standin.database;

import java.util.Locale;

/** A parsed statement of the stand-in's query language. */
sealed interface Statement {
    /**
     * Sets a key to a value and returns the value.
     *
     * @param key the key
     * @param value the value, which may contain spaces
     */
    record Put(String key, String value) implements Statement {}

    /**
     * Adds a number to the value of a key and returns the sum. An absent value counts as zero.
     *
     * @param key the key
     * @param number the number
     */
    record Add(String key, long number) implements Statement {}

    /**
     * Returns the value of a key, or no row if the key is absent.
     *
     * @param key the key
     */
    record Get(String key) implements Statement {}

    /**
     * Returns the number of keys with a prefix.
     *
     * @param prefix the prefix, empty for all keys
     */
    record Count(String prefix) implements Statement {}

    /**
     * Parses a statement.
     *
     * @param text {@code PUT key value}, {@code ADD key number}, {@code GET key} or {@code COUNT prefix}
     * @return the statement
     * @throws StatementException if the text has none of these forms
     */
    static Statement parse(String text) {
        String[] words = text.strip().split(" ", 3);
        String verb = words[0].toUpperCase(Locale.ROOT);
        if (verb.equals("PUT") && words.length == 3) {
            return new Put(words[1], words[2]);
        }
        if (verb.equals("ADD") && words.length == 3) {
            return new Add(words[1], parseNumber(words[2]));
        }
        if (verb.equals("GET") && words.length == 2) {
            return new Get(words[1]);
        }
        if (verb.equals("COUNT") && words.length <= 2) {
            return new Count(words.length == 2 ? words[1] : "");
        }
        throw new StatementException("malformed statement");
    }

    /**
     * Parses a whole number in the range of {@code long}.
     *
     * @param text the digits, with an optional sign
     * @return the number
     * @throws StatementException if the text is not such a number
     */
    static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new StatementException("not a number");
        }
    }

    /**
     * Returns whether the statement changes a value.
     *
     * @return true for {@code PUT} and {@code ADD}
     */
    default boolean isWrite() {
        return switch (this) {
            case Put put -> true;
            case Add add -> true;
            case Get get -> false;
            case Count count -> false;
        };
    }
}
