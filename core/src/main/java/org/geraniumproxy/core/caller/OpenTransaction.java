package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.service.ServiceRoute;

/**
 * A transaction of a caller.
 *
 * @param route the route in force when it began
 * @param readOnly whether the caller declared that it only reads
 * @param status whether it can go on
 * @param pinnedConnection the connection that it holds since its first statement ran
 * @param idleSince moment since which the caller has no statement outstanding
 */
record OpenTransaction(
        ServiceRoute route,
        boolean readOnly,
        Status status,
        Optional<PinnedConnection> pinnedConnection,
        Instant idleSince) {
    /** Whether a transaction can go on. */
    enum Status {
        /** It runs statements. */
        RUNNING,
        /** It was rolled back and the caller does not know it yet. */
        FAILED_UNREPORTED,
        /** It was rolled back and the caller was told. */
        FAILED
    }

    /** A connection held by a transaction, and whether a statement has run on it, and a write. */
    record PinnedConnection(
            Placement placement,
            long connectionId,
            ConnectionState connectionState,
            boolean hasRunStatement,
            boolean hasWritten) {}

    static OpenTransaction begin(ServiceRoute route, boolean readOnly, Instant now) {
        return new OpenTransaction(route, readOnly, Status.RUNNING, Optional.empty(), now);
    }

    OpenTransaction withFailure(Status failure) {
        return new OpenTransaction(route, readOnly, failure, Optional.empty(), idleSince);
    }

    OpenTransaction restarted() {
        return new OpenTransaction(route, readOnly, Status.RUNNING, Optional.empty(), idleSince);
    }

    OpenTransaction unpinned() {
        return new OpenTransaction(route, readOnly, status, Optional.empty(), idleSince);
    }

    OpenTransaction pinnedTo(PinnedConnection connection) {
        return new OpenTransaction(route, readOnly, status, Optional.of(connection), idleSince);
    }

    OpenTransaction withIdleSince(Instant now) {
        return new OpenTransaction(route, readOnly, status, pinnedConnection, now);
    }

    /** Whether its commit adds to the log. */
    boolean hasWritten() {
        return pinnedConnection.map(PinnedConnection::hasWritten).orElse(false);
    }

    boolean hasRunStatement() {
        return pinnedConnection.map(PinnedConnection::hasRunStatement).orElse(false);
    }
}
