package org.geraniumproxy.standin.database;

import java.util.Locale;

/** A statement of the stand-in's language. */
sealed interface Statement {
    /**
     * Writes a value.
     *
     * @param key the key
     * @param value the value, which may contain spaces
     */
    record Put(String key, String value) implements Statement {}

    /**
     * Adds a number to a value; an absent value counts as zero.
     *
     * @param key the key
     * @param number the number
     */
    record Add(String key, long number) implements Statement {}

    /**
     * Reads a value.
     *
     * @param key the key
     */
    record Get(String key) implements Statement {}

    /**
     * Counts the keys with a prefix.
     *
     * @param prefix the prefix, empty for all keys
     */
    record Count(String prefix) implements Statement {}

    /**
     * Parses a statement.
     *
     * @param text {@code PUT key value}, {@code ADD key number}, {@code GET key} or {@code COUNT prefix}
     * @return the statement
     * @throws StatementException if the text is none of these
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
     * Reads a number.
     *
     * @param text the text
     * @return the number
     * @throws StatementException if the text is not a whole number
     */
    static long parseNumber(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new StatementException("not a number");
        }
    }

    /**
     * Tells whether the statement writes.
     *
     * @return true if it does
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
