package org.geraniumproxy.core.session;

import org.geraniumproxy.core.identity.LogPosition;

/** Result of checking the requirement of a session against the log history of a group. */
public sealed interface RequirementCheckResult {
    /**
     * The session may be served by any database in the group's term that has reached the minimum position.
     *
     * @param minimumPosition log position that the database must have reached
     * @param lastRead position of the last read, clamped if a failover truncated the log before it
     * @param lastReadClamped whether the position of the last read was clamped
     */
    record Satisfied(long minimumPosition, LogPosition lastRead, boolean lastReadClamped)
            implements RequirementCheckResult {}

    /**
     * A failover truncated the log before the session's last write.
     *
     * @param lastWrite position of the lost write
     */
    record WriteLost(LogPosition lastWrite) implements RequirementCheckResult {}

    /**
     * The token is ahead of the log of the group.
     *
     * @param groupPosition term and log position of the group
     */
    record AheadOfGroup(LogPosition groupPosition) implements RequirementCheckResult {}
}
