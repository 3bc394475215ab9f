package org.geraniumproxy.core.directory;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.StoreRevision;

/**
 * A database as the record of its group describes it: what is needed to reach it and to notice that it has restarted.
 *
 * @param name identifier of the database
 * @param address host and port
 * @param failureDomain failure domain in which the database runs
 * @param slots number of statements that it runs concurrently
 * @param startedAtMilliseconds start time in milliseconds on the database's own clock
 */
public record RecordedMember(
        BackendServerName name, String address, FailureDomain failureDomain, int slots, long startedAtMilliseconds) {
    /** Revision before that of any entry, so that every entry replaces a record. */
    private static final StoreRevision BEFORE_ALL_ENTRIES = new StoreRevision(0, 0);

    /**
     * Creates the record of a database.
     *
     * @param entry entry of the database
     * @return the part of the entry that changes only when the database moves or restarts
     */
    public static RecordedMember of(DatabaseEntry entry) {
        return new RecordedMember(
                entry.name(), entry.address(), entry.failureDomain(), entry.slots(), entry.startedAtMilliseconds());
    }

    /**
     * Returns an entry by which the database can be reached. It is that of a replica: whether the database leads is not
     * recorded.
     *
     * @param group group of the database
     * @return entry that is older than all entries of the database itself
     */
    public DatabaseEntry toEntry(GroupName group) {
        return new DatabaseEntry(
                name, group, address, failureDomain, slots, false, false, startedAtMilliseconds, 0, BEFORE_ALL_ENTRIES);
    }

    RecordedMember withStart(long otherStartedAtMilliseconds) {
        return new RecordedMember(name, address, failureDomain, slots, otherStartedAtMilliseconds);
    }
}
