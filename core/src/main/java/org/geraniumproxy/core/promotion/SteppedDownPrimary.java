package org.geraniumproxy.core.promotion;

import org.geraniumproxy.core.identity.LogPosition;

/**
 * A primary that stepped down in an attempt that ended without a promotion. It acknowledges nothing any more, so its
 * last position stays the end of what a promoted log must hold.
 *
 * @param term term with which it stepped down
 * @param lastPosition last position of its log
 */
record SteppedDownPrimary(long term, LogPosition lastPosition) {
    /** Returns whether no database has led since. */
    boolean isCurrent(GroupSnapshot snapshot) {
        return snapshot.newestTerm() < term;
    }
}
