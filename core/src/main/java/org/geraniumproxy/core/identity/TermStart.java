package org.geraniumproxy.core.identity;

/**
 * Log position at which a term starts. Entries after the position belong to the term.
 *
 * @param term the term that starts
 * @param position the position of the last entry before the term
 */
public record TermStart(Term term, long position) {
    /**
     * Validates the position.
     *
     * @throws IllegalArgumentException if the position is negative
     */
    public TermStart {
        if (position < 0) {
            throw new IllegalArgumentException("term start must not be negative, but is: " + position);
        }
    }
}
