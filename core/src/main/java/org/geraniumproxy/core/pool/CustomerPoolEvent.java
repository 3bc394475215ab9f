package org.geraniumproxy.core.pool;

import java.util.List;
import org.geraniumproxy.core.identity.CustomerName;

/** An input of a {@link CustomerPool}. */
public sealed interface CustomerPoolEvent {
    /**
     * A slot was requested.
     *
     * @param request the slot request
     */
    record SlotRequested(SlotRequest request) implements CustomerPoolEvent {}

    /**
     * Waiting slot requests were cancelled. Those that are cancelled together are reported together so that none of
     * them is granted a slot.
     *
     * @param slotRequestIds ids of the slot requests
     */
    record RequestsCancelled(List<Long> slotRequestIds) implements CustomerPoolEvent {
        /** Copies the list. */
        public RequestsCancelled {
            slotRequestIds = List.copyOf(slotRequestIds);
        }
    }

    /**
     * A slot was released.
     *
     * @param slotRequestId id of the slot request
     */
    record SlotReleased(long slotRequestId) implements CustomerPoolEvent {}

    /**
     * A connection in use was returned.
     *
     * @param customer customer that the connection serves
     * @param reusable whether another request may use the connection
     */
    record ConnectionReturned(CustomerName customer, boolean reusable) implements CustomerPoolEvent {}

    /**
     * A connection was opened.
     *
     * @param customer customer that the connection serves
     */
    record ConnectionOpened(CustomerName customer) implements CustomerPoolEvent {}

    /**
     * A connection could not be opened.
     *
     * @param customer customer that the connection serves
     * @param connectionLimitReached whether the database refused the connection at its limit
     */
    record OpeningFailed(CustomerName customer, boolean connectionLimitReached) implements CustomerPoolEvent {}

    /**
     * Idle connections were lost. Those that are lost together are reported together so that none of them is granted.
     *
     * @param customers customer of each connection
     */
    record IdleConnectionsLost(List<CustomerName> customers) implements CustomerPoolEvent {
        /** Copies the list. */
        public IdleConnectionsLost {
            customers = List.copyOf(customers);
        }
    }

    /** A scheduled time was reached, or the view changed. */
    record TimePassed() implements CustomerPoolEvent {}
}
