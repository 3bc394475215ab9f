package org.geraniumproxy.measure.soak;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Inclusive range of the seeds of a series of runs.
 *
 * @param first first seed
 * @param last last seed, not below the first
 */
public record SeedRange(long first, long last) {
    private static final Pattern RANGE = Pattern.compile("(\\d{1,18})\\.\\.(\\d{1,18})");

    /**
     * Checks the order of the bounds.
     *
     * @throws IllegalArgumentException if the last seed is below the first
     */
    public SeedRange {
        if (last < first) {
            throw new IllegalArgumentException("the last seed must not be below the first: " + first + ".." + last);
        }
    }

    /**
     * Parses a range such as {@code 1..200}.
     *
     * @param text first and last seed, separated by two dots
     * @return the range
     * @throws IllegalArgumentException if the text has another form or the last seed is below the first
     */
    public static SeedRange parse(String text) {
        Matcher matcher = RANGE.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("seeds must be given as FIRST..LAST, for example 1..200: " + text);
        }
        return new SeedRange(Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2)));
    }
}
