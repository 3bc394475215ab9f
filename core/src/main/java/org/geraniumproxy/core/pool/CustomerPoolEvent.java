package org.geraniumproxy.core.pool;

import org.geraniumproxy.core.identity.CustomerName;

/** What happens to the slots and connections of one database. */
public sealed interface CustomerPoolEvent {
    /**
     * A request asks for a slot.
     *
     * @param request the request
     */
    record SlotRequested(SlotRequest request) implements CustomerPoolEvent {}

    /**
     * A request no longer wants a slot and has not got one.
     *
     * @param slotRequestId number of the request
     */
    record RequestCancelled(long slotRequestId) implements CustomerPoolEvent {}

    /**
     * A request gives its slot back.
     *
     * @param slotRequestId number of the request
     */
    record SlotReleased(long slotRequestId) implements CustomerPoolEvent {}

    /**
     * A held connection comes back.
     *
     * @param customer for whom it was opened
     * @param reusable whether another request may use it
     */
    record ConnectionReturned(CustomerName customer, boolean reusable) implements CustomerPoolEvent {}

    /**
     * A connection has been opened.
     *
     * @param customer for whom
     */
    record ConnectionOpened(CustomerName customer) implements CustomerPoolEvent {}

    /**
     * A connection could not be opened.
     *
     * @param customer for whom
     * @param connectionLimitReached whether the database has its most connections
     */
    record OpeningFailed(CustomerName customer, boolean connectionLimitReached) implements CustomerPoolEvent {}

    /**
     * An idle connection was lost.
     *
     * @param customer for whom it was opened
     */
    record IdleConnectionLost(CustomerName customer) implements CustomerPoolEvent {}

    /** Time has passed or the view has changed. */
    record TimePassed() implements CustomerPoolEvent {}
}
