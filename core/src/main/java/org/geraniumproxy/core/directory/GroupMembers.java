package org.geraniumproxy.core.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.BackendServerName;

/**
 * The databases of a group that may have confirmed a commit which the others lack. The entry of a database expires
 * seconds after its end, and a process that starts later would not know that it existed; this record outlives both.
 *
 * @param byName members by name
 */
public record GroupMembers(Map<BackendServerName, RecordedMember> byName) {
    /** Record of a group of which no database is known. */
    public static final GroupMembers NONE = new GroupMembers(Map.of());

    /** Copies the map. */
    public GroupMembers {
        byName = Map.copyOf(byName);
    }

    /**
     * Creates the record of a group that has none.
     *
     * @param members databases of the group
     * @return the record
     */
    public static GroupMembers of(Set<RecordedMember> members) {
        return new GroupMembers(members.stream().collect(Collectors.toMap(RecordedMember::name, Function.identity())));
    }

    /**
     * Returns the record that should follow. A member without an entry stays until its commits are known to be held by
     * others. The start of a database that has restarted recently stays as it was, so that a process that starts
     * meanwhile notices that the log may lack commits.
     *
     * @param present databases that have an entry
     * @param restarted databases that may have lost confirmed commits in a recent restart
     * @param settled members that can't confirm a commit any more and whose commits are held by enough others
     * @return the next record, equal to this one if nothing is to be written
     */
    public GroupMembers next(
            Map<BackendServerName, DatabaseEntry> present,
            Set<BackendServerName> restarted,
            Set<BackendServerName> settled) {
        Map<BackendServerName, RecordedMember> next = new HashMap<>(byName);
        next.keySet().removeAll(settled);
        present.forEach((name, entry) -> {
            RecordedMember current = RecordedMember.of(entry);
            RecordedMember known = byName.get(name);
            boolean keepsStart = known != null && restarted.contains(name);
            next.put(name, keepsStart ? current.withStart(known.startedAtMilliseconds()) : current);
        });
        return new GroupMembers(next);
    }
}
