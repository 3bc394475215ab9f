package org.geraniumproxy.core.directory;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.StoreRevision;

/**
 * Store entry in which a database describes itself.
 *
 * @param name identifier of the database
 * @param group group that the database belongs to
 * @param address host and port
 * @param failureDomain failure domain in which the database runs
 * @param slots number of statements that it runs concurrently
 * @param draining whether it is about to stop
 * @param primary whether it considers itself the primary
 * @param startedAtMilliseconds start time in milliseconds on the database's own clock; a change means that the database
 *     restarted and holds no state of its earlier process
 * @param sequence number that grows with each write of the same process
 * @param revision store revision at which the entry was read
 */
public record DatabaseEntry(
        BackendServerName name,
        GroupName group,
        String address,
        FailureDomain failureDomain,
        int slots,
        boolean draining,
        boolean primary,
        long startedAtMilliseconds,
        long sequence,
        StoreRevision revision) {
    /**
     * Returns whether this entry was written before another one of the same database. The revisions don't tell: a
     * restored store returns earlier entries in a later era.
     *
     * @param other entry of the same database
     * @return true if it was
     */
    public boolean isWrittenBefore(DatabaseEntry other) {
        return startedAtMilliseconds == other.startedAtMilliseconds
                ? sequence < other.sequence
                : startedAtMilliseconds < other.startedAtMilliseconds;
    }

    /**
     * Returns whether both entries say the same of the database, apart from when they were written.
     *
     * @param other entry of the same database
     * @return true if they do
     */
    public boolean hasSameContentAs(DatabaseEntry other) {
        return withoutTime().equals(other.withoutTime());
    }

    private DatabaseEntry withoutTime() {
        StoreRevision none = new StoreRevision(0, 0);
        return new DatabaseEntry(
                name, group, address, failureDomain, slots, draining, primary, startedAtMilliseconds, 0, none);
    }
}
