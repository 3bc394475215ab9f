package org.geraniumproxy.measure.promotion;

import java.util.ArrayList;
import java.util.List;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * Log of a database. Numbers go on from one term to the next, so the last position of each term describes all of it.
 *
 * @param ends last position of each term in which commits were written, oldest first
 */
record CommitLog(List<LogPosition> ends) {
    CommitLog {
        ends = List.copyOf(ends);
    }

    LogPosition last() {
        return ends.isEmpty() ? LogPosition.START : ends.getLast();
    }

    /** Returns this log with a further commit. */
    CommitLog append(long term) {
        LogPosition next = LogPosition.of(term, last().position() + 1);
        List<LogPosition> appended = new ArrayList<>(ends);
        if (last().term().equals(next.term())) {
            appended.removeLast();
        }
        appended.add(next);
        return new CommitLog(appended);
    }

    boolean contains(LogPosition position) {
        long before = 0;
        for (LogPosition end : ends) {
            if (end.term().equals(position.term())) {
                return position.position() > before && position.position() <= end.position();
            }
            before = end.position();
        }
        return false;
    }

    /** Returns the commits that both logs begin with. */
    CommitLog commonPrefix(CommitLog other) {
        List<LogPosition> common = new ArrayList<>();
        for (int i = 0; i < Math.min(ends.size(), other.ends.size()); i++) {
            LogPosition end = ends.get(i);
            LogPosition otherEnd = other.ends.get(i);
            if (end.term().equals(otherEnd.term())) {
                common.add(end.compareTo(otherEnd) < 0 ? end : otherEnd);
            }
            if (!end.equals(otherEnd)) {
                break;
            }
        }
        return new CommitLog(common);
    }
}
