package org.geraniumproxy.core.session;

import org.geraniumproxy.core.identity.LogPosition;

/**
 * What a session has written and read in one group.
 *
 * @param lastWrite position of the session's last acknowledged write, {@link LogPosition#START} if none
 * @param lastRead position of the session's last read, {@link LogPosition#START} if none
 */
public record SessionRequirement(LogPosition lastWrite, LogPosition lastRead) {
    /** The requirement of a new session: any state of the group satisfies it. */
    public static final SessionRequirement NONE = new SessionRequirement(LogPosition.START, LogPosition.START);
}
