package org.geraniumproxy.core.identity;

import java.util.Comparator;

/**
 * A position in a replication log and the term it belongs to. Positions compare by term first: position numbers of
 * different terms are unrelated, because their logs may have diverged.
 *
 * @param term the term under which the entry was written or read
 * @param position the position in the log, zero for the empty log
 */
public record LogPosition(Term term, long position) implements Comparable<LogPosition> {
    /** The empty log before the first term. */
    public static final LogPosition START = new LogPosition(Term.NONE, 0);

    private static final Comparator<LogPosition> ORDER =
            Comparator.comparing(LogPosition::term).thenComparingLong(LogPosition::position);

    /**
     * Validates the position.
     *
     * @throws IllegalArgumentException if the position is negative
     */
    public LogPosition {
        if (position < 0) {
            throw new IllegalArgumentException("log position must not be negative, but is: " + position);
        }
    }

    /**
     * Creates a position from plain numbers.
     *
     * @param term number of the term, zero for none
     * @param position position in the log, zero for the empty log
     * @return the log position
     * @throws IllegalArgumentException if a number is negative
     */
    public static LogPosition of(long term, long position) {
        return new LogPosition(Term.of(term), position);
    }

    /**
     * Returns the lowest position that a later commit can have.
     *
     * @return the position after this one in the same term
     */
    public LogPosition next() {
        return new LogPosition(term, position + 1);
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }
}
