package org.geraniumproxy.proxy.pool;

import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.outcome.NotRunReason;
import org.geraniumproxy.proxy.backend.BackendConnection;

/** Grants slots and connections of backend servers in the order of the fair queue. */
public interface SlotPool {
    /**
     * Waits for a slot and a clean connection.
     *
     * @param group the group of the database
     * @param backendServer the database
     * @param customer the customer that the request runs for
     * @param deadline moment at which the request is no longer wanted
     * @return the grant or the rejection; completes at the deadline at the latest
     */
    CompletableFuture<SlotGrant> acquire(
            GroupName group, BackendServerName backendServer, CustomerName customer, Instant deadline);

    /** Result of a slot request. */
    sealed interface SlotGrant {
        /**
         * A slot with its connection. The holder releases it exactly once.
         *
         * @param lease the slot and connection
         */
        record Granted(SlotLease lease) implements SlotGrant {}

        /**
         * No slot could be granted; nothing was sent.
         *
         * @param reason reason code that is sent to the caller
         * @param detail explanation for the caller
         */
        record Refused(NotRunReason reason, String detail) implements SlotGrant {}
    }

    /** A slot and connection held by one request or transaction. */
    interface SlotLease {
        /**
         * Returns the connection, which stays the same over the whole lease.
         *
         * @return the leased connection
         */
        BackendConnection connection();

        /** Releases slot and connection. A connection that is not clean is closed. */
        void release();

        /** Releases the slot between two statements of a transaction and keeps the connection. */
        void yieldSlot();

        /**
         * Waits for a slot for the next statement of the transaction on the same connection.
         *
         * @param deadline moment at which the statement is no longer wanted
         * @return true if the slot was granted before the deadline
         */
        CompletableFuture<Boolean> resumeSlot(Instant deadline);
    }
}
