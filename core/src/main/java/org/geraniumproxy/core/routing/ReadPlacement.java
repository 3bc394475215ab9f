package org.geraniumproxy.core.routing;

import java.time.Instant;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.outcome.NotRunReason;

/** Where a read runs. */
public sealed interface ReadPlacement {
    /**
     * A replica holds what the read needs. Check its reply again with {@link ReadPlacementDecision#acceptsReply}.
     *
     * @param replica the replica
     */
    record AtReplica(BackendServerName replica) implements ReadPlacement {}

    /**
     * A replica is expected to hold what the read needs sooner than the primary has a free slot. Decide again when the
     * view of the group changes; at the moment given here, decide with
     * {@link ReadPlacementDecision.ReplicaWait#EXPIRED}.
     *
     * @param replica the replica
     * @param until latest moment on this VM's clock to wait for
     */
    record WaitForReplica(BackendServerName replica, Instant until) implements ReadPlacement {}

    /**
     * The primary serves the read.
     *
     * @param primary the primary
     */
    record AtPrimary(BackendServerName primary) implements ReadPlacement {}

    /**
     * No database may serve the read.
     *
     * @param reason why
     * @param detail what would be right
     */
    record Refuse(NotRunReason reason, String detail) implements ReadPlacement {}
}
