package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/**
 * Status report of a database. Its age is measured from when the request was sent, because the time at which the
 * database answered is unknown to the receiver.
 *
 * @param backendServer the database
 * @param requestSentAt time on this VM's clock at which the status request was sent
 * @param fencedTerm highest term at which the database has been fenced
 * @param replicatingTerm term of the primary that it replicates from, after truncating its divergent log tail; its own
 *     term on a primary; {@link Term#NONE} if it replicates from none
 * @param lastEntryTerm term of the last log entry
 * @param position position of the last log entry
 * @param primary whether it is the primary of its replicating term
 * @param timeSincePrimaryContact time since the last message from its primary, zero on the primary
 * @param openConnections connections open to it from all VMs
 * @param leaving whether it reports that it is leaving the group
 * @param termStarts start positions of the terms in its log, in ascending order
 */
public record BackendStatus(
        BackendServerName backendServer,
        Instant requestSentAt,
        Term fencedTerm,
        Term replicatingTerm,
        Term lastEntryTerm,
        long position,
        boolean primary,
        Duration timeSincePrimaryContact,
        int openConnections,
        boolean leaving,
        List<TermStart> termStarts) {
    /** Makes the term starts immutable. */
    public BackendStatus {
        termStarts = List.copyOf(termStarts);
    }
}
