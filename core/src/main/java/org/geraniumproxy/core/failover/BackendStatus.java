package org.geraniumproxy.core.failover;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;

/**
 * Status report of a database. The report counts from the moment its request was sent, because the database answered at
 * some later moment that the reader does not know.
 *
 * @param backendServer the database
 * @param requestSentAt moment on this VM's clock at which the request for the report was sent
 * @param fencedTerm highest term that the database has been fenced at
 * @param replicatingTerm term of the primary that it replicates from with its divergent tail cut; the own term on a
 *     primary; {@link Term#NONE} if it replicates from none
 * @param lastEntryTerm term of the last entry of its log
 * @param position position of the last entry of its log
 * @param primary whether it is the primary of its replicating term
 * @param timeSincePrimaryContact time since it last heard from its primary, zero on the primary
 * @param openConnections connections that are open to it, from all VMs
 * @param leaving whether it is about to leave
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
    /** Copies the term starts. */
    public BackendStatus {
        termStarts = List.copyOf(termStarts);
    }
}
