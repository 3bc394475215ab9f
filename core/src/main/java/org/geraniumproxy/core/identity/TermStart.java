package org.geraniumproxy.core.identity;

/**
 * Start of a term in a log: entries past the position belong to the term.
 *
 * @param term the term
 * @param position the position of the last entry before the term
 */
public record TermStart(Term term, long position) {
    /**
     * Validates the start.
     *
     * @throws IllegalArgumentException if the position is negative
     */
    public TermStart {
        if (position < 0) {
            throw new IllegalArgumentException("term start must not be negative, but is: " + position);
        }
    }
}
