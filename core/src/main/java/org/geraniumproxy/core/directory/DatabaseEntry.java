package org.geraniumproxy.core.directory;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.GroupName;

/**
 * What a database says of itself.
 *
 * @param name identifier of the database
 * @param group the group it belongs to
 * @param address host and port
 * @param failureDomain where it runs
 * @param slots statements that it runs at once
 * @param draining whether it is about to leave
 * @param primary whether it sees itself as the primary
 * @param startedAtMilliseconds its start in its own time of day; a change means that it holds nothing of before
 * @param revision revision of the entry in the store, greater for a younger statement
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
        long revision) {}
