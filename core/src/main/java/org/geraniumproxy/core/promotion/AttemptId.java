package org.geraniumproxy.core.promotion;

/**
 * Identifies an attempt to replace a primary.
 *
 * @param holder process that held the promotion lease; differs between two processes on the same VM
 * @param number number of the attempt, counted from one in each process and group
 */
public record AttemptId(String holder, long number) {
    private static final char SEPARATOR = '/';

    /**
     * Parses the text form.
     *
     * @param text result of {@link #toString}
     * @return the identifier
     * @throws IllegalArgumentException if the text has no number of an attempt
     */
    public static AttemptId parse(String text) {
        int separator = text.lastIndexOf(SEPARATOR);
        if (separator < 1) {
            throw new IllegalArgumentException("attempt must have the form holder/number: " + text);
        }
        return new AttemptId(text.substring(0, separator), Long.parseLong(text.substring(separator + 1)));
    }

    @Override
    public String toString() {
        return holder + SEPARATOR + number;
    }
}
