package org.geraniumproxy.core.session;

import org.geraniumproxy.core.identity.LogPosition;

/** Whether the history of a group holds what a session has written and read. */
public sealed interface RequirementCheckResult {
    /**
     * Any database of the group's term that has reached the position may serve the session.
     *
     * @param minimumPosition position that the database must have reached
     * @param lastRead the last read, clamped if a failover has cut the log before it
     * @param lastReadClamped whether the last read was clamped
     */
    record Satisfied(long minimumPosition, LogPosition lastRead, boolean lastReadClamped)
            implements RequirementCheckResult {}

    /**
     * A failover has cut the log before the session's last write.
     *
     * @param lastWrite the lost write
     */
    record WriteLost(LogPosition lastWrite) implements RequirementCheckResult {}

    /**
     * The token is ahead of everything that the group can show.
     *
     * @param groupPosition what the group can show
     */
    record AheadOfGroup(LogPosition groupPosition) implements RequirementCheckResult {}
}
