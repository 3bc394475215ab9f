package org.geraniumproxy.proxy.traffic;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.LogPosition;
import org.geraniumproxy.core.identity.Term;

/** Highest log positions that replies of backend servers have shown. They are newer than the last status reports. */
final class SeenPositions {
    private final Map<GroupName, LogPosition> highest = new ConcurrentHashMap<>();

    void note(GroupName group, LogPosition position) {
        highest.merge(group, position, (known, added) -> known.compareTo(added) >= 0 ? known : added);
    }

    long highest(GroupName group, Term term) {
        LogPosition position = highest.getOrDefault(group, LogPosition.START);
        return position.term().equals(term) ? position.position() : 0;
    }
}
