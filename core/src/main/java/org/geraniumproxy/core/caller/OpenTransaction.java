package org.geraniumproxy.core.caller;

import java.time.Instant;
import java.util.Optional;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.service.ServiceRoute;

/**
 * A caller's transaction.
 *
 * @param route the route at the time of the begin
 * @param customer customer for whom the transaction was admitted, and to whom its connection belongs
 * @param readOnly whether the caller declared the transaction read-only
 * @param status whether the transaction can continue
 * @param pinnedConnection the connection that the transaction holds, or empty before it begins at a database
 * @param idleSince time at which the last statement of the transaction ended
 */
record OpenTransaction(
        ServiceRoute route,
        CustomerName customer,
        boolean readOnly,
        Status status,
        Optional<PinnedConnection> pinnedConnection,
        Instant idleSince) {
    /** Whether a transaction can continue. */
    enum Status {
        /** The transaction accepts statements. */
        RUNNING,
        /** The transaction was rolled back and the caller has not been told. */
        FAILED_UNREPORTED,
        /** The transaction was rolled back and the caller has been told. */
        FAILED
    }

    /** A connection held by a transaction, with flags for whether any statement and any write have run on it. */
    record PinnedConnection(Placement placement, long connectionId, boolean hasRunStatement, boolean hasWritten) {}

    static OpenTransaction begin(ServiceRoute route, CustomerName customer, boolean readOnly, Instant now) {
        return new OpenTransaction(route, customer, readOnly, Status.RUNNING, Optional.empty(), now);
    }

    OpenTransaction withFailure(Status failure) {
        return new OpenTransaction(route, customer, readOnly, failure, Optional.empty(), idleSince);
    }

    OpenTransaction restarted() {
        return new OpenTransaction(route, customer, readOnly, Status.RUNNING, Optional.empty(), idleSince);
    }

    OpenTransaction unpinned() {
        return new OpenTransaction(route, customer, readOnly, status, Optional.empty(), idleSince);
    }

    OpenTransaction pinnedTo(PinnedConnection connection) {
        return new OpenTransaction(route, customer, readOnly, status, Optional.of(connection), idleSince);
    }

    OpenTransaction withCustomer(CustomerName holder) {
        return new OpenTransaction(route, holder, readOnly, status, pinnedConnection, idleSince);
    }

    OpenTransaction withIdleSince(Instant now) {
        return new OpenTransaction(route, customer, readOnly, status, pinnedConnection, now);
    }

    /** Returns whether the commit appends to the log. */
    boolean hasWritten() {
        return pinnedConnection.map(PinnedConnection::hasWritten).orElse(false);
    }

    boolean hasRunStatement() {
        return pinnedConnection.map(PinnedConnection::hasRunStatement).orElse(false);
    }
}
