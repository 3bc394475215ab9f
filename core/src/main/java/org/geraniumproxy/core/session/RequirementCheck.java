package org.geraniumproxy.core.session;

import java.util.List;
import java.util.OptionalLong;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/** Checks the requirement of a session against the log history of a group. */
public final class RequirementCheck {
    private RequirementCheck() {}

    /**
     * Checks a requirement.
     *
     * <p>A reported position may be older than the log of the primary. Within a term, a requirement is therefore ahead
     * of the group only if the primary's own reply to the statement is behind it. Pass the position of that reply, or
     * {@link Long#MAX_VALUE} before there is one.
     *
     * @param requirement the requirement of the session
     * @param termStarts start positions of the terms in the primary's log
     * @param groupPosition term and log position of the primary
     * @return whether the group satisfies the requirement
     */
    public static RequirementCheckResult check(
            SessionRequirement requirement, List<TermStart> termStarts, LogPosition groupPosition) {
        LogPosition lastWrite = requirement.lastWrite();
        LogPosition lastRead = requirement.lastRead();
        if (isAhead(lastWrite, groupPosition) || isAhead(lastRead, groupPosition)) {
            return new RequirementCheckResult.AheadOfGroup(groupPosition);
        }
        if (truncationPoint(lastWrite, termStarts, groupPosition.term()).isPresent()) {
            return new RequirementCheckResult.WriteLost(lastWrite);
        }
        OptionalLong readTruncation = truncationPoint(lastRead, termStarts, groupPosition.term());
        LogPosition effectiveRead = readTruncation.isPresent()
                ? new LogPosition(groupPosition.term(), readTruncation.getAsLong())
                : lastRead;
        long position = Math.max(lastWrite.position(), effectiveRead.position());
        if (position > groupPosition.position()) {
            return new RequirementCheckResult.AheadOfGroup(groupPosition);
        }
        return new RequirementCheckResult.Satisfied(position, effectiveRead, readTruncation.isPresent());
    }

    private static boolean isAhead(LogPosition position, LogPosition groupPosition) {
        return position.term().isAfter(groupPosition.term())
                || (position.term().equals(groupPosition.term()) && position.position() > groupPosition.position());
    }

    /** Returns the lowest start position of a later term before the position, where the log was truncated. */
    private static OptionalLong truncationPoint(LogPosition position, List<TermStart> termStarts, Term currentTerm) {
        return termStarts.stream()
                .filter(start -> start.term().isAfter(position.term()))
                .filter(start -> !start.term().isAfter(currentTerm))
                .mapToLong(TermStart::position)
                .filter(start -> start < position.position())
                .min();
    }
}
