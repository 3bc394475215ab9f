package org.geraniumproxy.core.failover;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.geraniumproxy.core.identity.VmName;

/**
 * Published copy of the state of a group. The databases of the group are authoritative.
 *
 * @param group the group
 * @param term the term
 * @param primary the primary of the term, empty while it has only been announced
 * @param promoter the VM that announced the term
 * @param termStarts start positions of the terms in ascending order
 */
public record GroupRecord(
        GroupName group, Term term, Optional<BackendServerName> primary, VmName promoter, List<TermStart> termStarts) {
    /** Copies the term starts. */
    public GroupRecord {
        termStarts = List.copyOf(termStarts);
    }

    /**
     * Tells whether this record may take the place of the stored one: it has a higher term, or completes the
     * announcement of the same term.
     *
     * @param stored the stored record
     * @return true if this record replaces it
     */
    public boolean supersedes(GroupRecord stored) {
        return term.isAfter(stored.term())
                || (term.equals(stored.term())
                        && primary.isPresent()
                        && stored.primary().isEmpty());
    }
}
