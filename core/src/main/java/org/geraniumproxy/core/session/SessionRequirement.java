package org.geraniumproxy.core.session;

import org.geraniumproxy.core.identity.LogPosition;

/**
 * Positions of a session's last write and last read in one group, which later reads must not miss.
 *
 * @param lastWrite position of the session's last acknowledged write, {@link LogPosition#START} if none
 * @param lastRead position of the session's last read, {@link LogPosition#START} if none
 */
public record SessionRequirement(LogPosition lastWrite, LogPosition lastRead) {
    /** The requirement of a new session, which any state of the group satisfies. */
    public static final SessionRequirement NONE = new SessionRequirement(LogPosition.START, LogPosition.START);
}
