package org.geraniumproxy.standin.database;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.control.InvariantViolation;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/** The replicated log of a database and the key-value state that results from it. Not thread-safe. */
final class DatabaseLog {
    /**
     * A log entry, which is one write.
     *
     * @param term term of the primary that accepted the write
     * @param position position in the log, starting at one
     * @param key the key
     * @param value the value after the write
     * @param writeIdentifier text of the statement, by which tests identify the write
     */
    record Entry(Term term, long position, String key, String value, String writeIdentifier) {}

    private final List<Entry> entries = new ArrayList<>();
    private final List<TermStart> segments = new ArrayList<>();
    private final Map<String, String> values = new HashMap<>();

    long position() {
        return entries.size();
    }

    Term lastEntryTerm() {
        return entries.isEmpty() ? Term.NONE : entries.getLast().term();
    }

    /** Returns the start of each term that has entries, in ascending order. They identify the history of the log. */
    List<TermStart> segments() {
        return List.copyOf(segments);
    }

    List<Entry> entries() {
        return List.copyOf(entries);
    }

    List<Entry> entriesAfter(long position) {
        return List.copyOf(entries.subList((int) position, entries.size()));
    }

    Optional<String> value(String key) {
        return Optional.ofNullable(values.get(key));
    }

    Map<String, String> values() {
        return values;
    }

    void append(Entry entry) {
        InvariantViolation.check(entry.position() == position() + 1, "log positions have no gap");
        InvariantViolation.check(entry.term().compareTo(lastEntryTerm()) >= 0, "terms of a log never decrease");
        if (!entry.term().equals(lastEntryTerm())) {
            segments.add(new TermStart(entry.term(), position()));
        }
        entries.add(entry);
        values.put(entry.key(), entry.value());
    }

    /** Removes all entries after a position. */
    void truncateAfter(long position) {
        InvariantViolation.check(position <= position(), "a log is never truncated past its end");
        if (position == position()) {
            return;
        }
        entries.subList((int) position, entries.size()).clear();
        segments.removeIf(segment -> segment.position() >= position);
        values.clear();
        entries.forEach(entry -> values.put(entry.key(), entry.value()));
    }

    /**
     * Returns the last position up to which this log and another one are equal. Two segments with the same term and
     * start have the same entries up to the end of the shorter one, because each term has a single primary.
     */
    long commonPosition(List<TermStart> otherSegments, long otherPosition) {
        long common = 0;
        int sharedCount = Math.min(segments.size(), otherSegments.size());
        for (int i = 0; i < sharedCount && segments.get(i).equals(otherSegments.get(i)); i++) {
            long end = segmentEnd(segments, i, position());
            long otherEnd = segmentEnd(otherSegments, i, otherPosition);
            common = Math.min(end, otherEnd);
            if (end != otherEnd) {
                break;
            }
        }
        return common;
    }

    private static long segmentEnd(List<TermStart> segments, int index, long position) {
        return index + 1 < segments.size() ? segments.get(index + 1).position() : position;
    }
}
