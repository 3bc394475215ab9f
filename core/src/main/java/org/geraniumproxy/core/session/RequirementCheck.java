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
     * @param highest the term of the primary and its position
     * @return the verdict
     */
    public static RequirementVerdict check(
            SessionRequirement requirement, List<TermStart> termStarts, LogPosition highest) {
        LogPosition lastWrite = requirement.lastWrite();
        LogPosition lastRead = requirement.lastRead();
        if (isAhead(lastWrite, highest) || isAhead(lastRead, highest)) {
            return new RequirementVerdict.Impossible(highest);
        }
        if (cut(lastWrite, termStarts, highest.term()).isPresent()) {
            return new RequirementVerdict.WriteLost(lastWrite);
        }
        OptionalLong readCut = cut(lastRead, termStarts, highest.term());
        LogPosition effectiveRead =
                readCut.isPresent() ? new LogPosition(highest.term(), readCut.getAsLong()) : lastRead;
        long position = Math.max(lastWrite.position(), effectiveRead.position());
        if (position > highest.position()) {
            return new RequirementVerdict.Impossible(highest);
        }
        return new RequirementVerdict.Satisfied(position, effectiveRead, readCut.isPresent());
    }

    private static boolean isAhead(LogPosition position, LogPosition highest) {
        return position.term().isAfter(highest.term())
                || (position.term().equals(highest.term()) && position.position() > highest.position());
    }

    /** Returns the lowest start position of a later term that cuts the position off. */
    private static OptionalLong cut(LogPosition position, List<TermStart> termStarts, Term currentTerm) {
        return termStarts.stream()
                .filter(start -> start.term().isAfter(position.term()))
                .filter(start -> !start.term().isAfter(currentTerm))
                .mapToLong(TermStart::position)
                .filter(start -> start < position.position())
                .min();
    }
}
