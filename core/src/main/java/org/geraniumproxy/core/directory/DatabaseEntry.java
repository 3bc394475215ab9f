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
        StoreRevision revision) {}
