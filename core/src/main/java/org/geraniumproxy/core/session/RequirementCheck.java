package org.geraniumproxy.core.session;

import java.util.List;
import java.util.OptionalLong;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/** Compares the requirement of a session with the history of a group. */
public final class RequirementCheck {
    private RequirementCheck() {}

    /**
     * Checks a requirement.
     *
     * <p>A report of the primary lags behind the primary. A requirement that is ahead of the reported position within
     * the same term is impossible only when the primary's own reply to the statement is behind it, so pass the position
     * of that reply, or {@link Long#MAX_VALUE} before there is one.
     *
     * @param requirement what the session has written and read
     * @param termStarts start positions of the terms of the primary's log
     * @param groupPosition the term of the primary and its position
     * @return the verdict
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

    /** Returns the lowest start position of a later term that cuts the position off. */
    private static OptionalLong truncationPoint(LogPosition position, List<TermStart> termStarts, Term currentTerm) {
        return termStarts.stream()
                .filter(start -> start.term().isAfter(position.term()))
                .filter(start -> !start.term().isAfter(currentTerm))
                .mapToLong(TermStart::position)
                .filter(start -> start < position.position())
                .min();
    }
}
