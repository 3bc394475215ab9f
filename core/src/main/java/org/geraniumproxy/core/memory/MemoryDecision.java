package org.geraniumproxy.core.memory;

import java.util.List;
import java.util.Set;

/**
 * What to do about the memory that connections hold.
 *
 * @param paused identifiers of the holders from which nothing is read for now
 * @param closed identifiers of the holders to close, in the order of closing
 */
public record MemoryDecision(Set<Long> paused, List<Long> closed) {
    /** Reads from all connections and closes none. */
    public static final MemoryDecision CALM = new MemoryDecision(Set.of(), List.of());

    /** Makes immutable copies of the collections. */
    public MemoryDecision {
        paused = Set.copyOf(paused);
        closed = List.copyOf(closed);
    }
}
