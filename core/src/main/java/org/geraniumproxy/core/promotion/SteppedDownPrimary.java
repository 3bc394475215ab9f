package org.geraniumproxy.core.promotion;

import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * A primary that stepped down in an attempt that ended without a promotion. It acknowledges nothing any more, so its
 * last position stays the end of what a promoted log must hold.
 *
 * @param database name of the primary, if its entry named it
 * @param term term with which it stepped down
 * @param lastPosition last position of its log
 */
record SteppedDownPrimary(Optional<BackendServerName> database, long term, LogPosition lastPosition) {
    /** Returns whether no database has led since. A primary that restarted may lead again. */
    boolean isCurrent(GroupSnapshot snapshot) {
        return snapshot.newestTerm() < term
                && database.filter(snapshot.recentlyRestarted()::contains).isEmpty();
    }
}
