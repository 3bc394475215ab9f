package org.geraniumproxy.core.session;

import org.geraniumproxy.core.identity.LogPosition;

/** Whether the history of a group holds what a session has written and read. */
public sealed interface RequirementVerdict {
    /**
     * Any database of the group's term that has reached the position may serve the session.
     *
     * @param position position that the database must have reached
     * @param lastRead the last read, clamped if a failover has cut the log before it
     * @param lastReadClamped whether the last read was clamped
     */
    record Satisfied(long position, LogPosition lastRead, boolean lastReadClamped) implements RequirementVerdict {}

    /**
     * A failover has cut the log before the session's last write.
     *
     * @param lastWrite the lost write
     */
    record WriteLost(LogPosition lastWrite) implements RequirementVerdict {}

    /**
     * The token is ahead of everything that the group can show.
     *
     * @param highest what the group can show
     */
    record Impossible(LogPosition highest) implements RequirementVerdict {}
}
