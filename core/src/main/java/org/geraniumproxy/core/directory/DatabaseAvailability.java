package org.geraniumproxy.core.directory;

/** What a database is still good for, judged by its entry. */
public enum DatabaseAvailability {
    /** It takes statements. */
    USED,

    /**
     * The time in which it takes new work after it said that it leaves is over. Until it ends it still receives and
     * confirms commits.
     */
    LEFT,

    /** Its entry has been missing for so long that it counts as gone. It may only be cut off from the store. */
    GONE
}
