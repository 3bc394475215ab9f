package org.geraniumproxy.core.identity;

import java.util.Comparator;

/**
 * Revision of the platform's store. A store that is restored from an earlier copy gives later revisions out again, so a
 * revision is compared by its era first.
 *
 * @param era number of times that the store was restored before it gave out the revision
 * @param number number of the change within the history of the era
 */
public record StoreRevision(long era, long number) implements Comparable<StoreRevision> {
    private static final Comparator<StoreRevision> ORDER =
            Comparator.comparingLong(StoreRevision::era).thenComparingLong(StoreRevision::number);

    /**
     * Validates the revision.
     *
     * @throws IllegalArgumentException if a number is negative
     */
    public StoreRevision {
        if (era < 0 || number < 0) {
            throw new IllegalArgumentException("store revision must not be negative, but is: " + era + "." + number);
        }
    }

    /**
     * Returns whether this revision was given out later than another one.
     *
     * @param other revision to compare with
     * @return true if it was
     */
    public boolean isAfter(StoreRevision other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(StoreRevision other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns the era and the number.
     *
     * @return both numbers, separated by a dot
     */
    @Override
    public String toString() {
        return era + "." + number;
    }
}
