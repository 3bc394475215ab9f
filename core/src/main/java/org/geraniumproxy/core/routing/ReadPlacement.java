package org.geraniumproxy.core.routing;

import java.time.Instant;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.outcome.NotRunReason;

/** Decision about where a read runs. */
public sealed interface ReadPlacement {
    /**
     * Run the read at a replica that has the required data. Its reply must be checked with
     * {@link ReadPlacementDecision#acceptsReply}.
     *
     * @param replica the replica
     */
    record AtReplica(BackendServerName replica) implements ReadPlacement {}

    /**
     * Wait for a replica that is expected to have the required data before the primary has a free slot. The placement
     * must be decided again whenever the view of the group changes, and at the end of the wait with
     * {@link ReadPlacementDecision.ReplicaWait#EXPIRED}.
     *
     * @param replica the replica
     * @param until end of the wait on this VM's clock
     */
    record WaitForReplica(BackendServerName replica, Instant until) implements ReadPlacement {}

    /**
     * Run the read at the primary.
     *
     * @param primary the primary
     */
    record AtPrimary(BackendServerName primary) implements ReadPlacement {}

    /**
     * Refuse the read because no database can serve it.
     *
     * @param reason reason reported to the caller
     * @param detail explanation reported to the caller
     */
    record Refuse(NotRunReason reason, String detail) implements ReadPlacement {}
}
