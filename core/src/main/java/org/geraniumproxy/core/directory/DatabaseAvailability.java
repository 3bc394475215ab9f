package org.geraniumproxy.core.directory;

/** Use that can be made of a database, derived from its store entry. */
public enum DatabaseAvailability {
    /** The database gets statements. */
    USED,

    /**
     * The drain grace period is over, so the database gets no statements. Until it stops it still receives and confirms
     * commits.
     */
    LEFT,

    /**
     * The failure domain is evacuated, so the database gets no statements. It still receives and confirms commits, and
     * is used again when the evacuation ends.
     */
    EVACUATED,

    /**
     * The entry has been missing for longer than the grace period. The database may still run, partitioned from the
     * store.
     */
    GONE
}
