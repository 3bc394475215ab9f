package org.geraniumproxy.core.failover;

import java.util.List;
import java.util.Optional;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.geraniumproxy.core.identity.VmName;

/**
 * Copy of a group's replication state in the store. The databases themselves remain authoritative.
 *
 * @param group the group
 * @param term the term
 * @param primary the primary of the term, empty while the promotion is only announced
 * @param promoter the VM that announced the term
 * @param termStarts start positions of the terms in ascending order
 */
public record GroupRecord(
        GroupName group, Term term, Optional<BackendServerName> primary, VmName promoter, List<TermStart> termStarts) {
    /** Makes the term starts immutable. */
    public GroupRecord {
        termStarts = List.copyOf(termStarts);
    }

    /**
     * Tells whether this record may overwrite the stored one: it has a higher term, or names the primary of a term that
     * is only announced.
     *
     * @param stored the stored record
     * @return true if the stored record is to be overwritten
     */
    public boolean supersedes(GroupRecord stored) {
        return term.isAfter(stored.term())
                || (term.equals(stored.term())
                        && primary.isPresent()
                        && stored.primary().isEmpty());
    }
}
