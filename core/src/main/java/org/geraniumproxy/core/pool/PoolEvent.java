package org.geraniumproxy.core.pool;

/** What happens to the slots and connections of one database. */
public sealed interface PoolEvent {
    /**
     * A request asks for a slot.
     *
     * @param request the request
     */
    record SlotRequested(SlotRequest request) implements PoolEvent {}

    /**
     * A request gives its slot back.
     *
     * @param slotRequestId number of the request
     */
    record SlotReleased(long slotRequestId) implements PoolEvent {}

    /**
     * A held connection comes back.
     *
     * @param reusable whether another request may use it
     */
    record ConnectionReturned(boolean reusable) implements PoolEvent {}

    /** A connection has been opened. */
    record ConnectionOpened() implements PoolEvent {}

    /** A connection could not be opened. */
    record OpeningFailed() implements PoolEvent {}

    /**
     * Idle connections were found broken.
     *
     * @param count their number
     */
    record IdleConnectionsLost(int count) implements PoolEvent {}

    /** Time has passed or the view has changed. */
    record TimePassed() implements PoolEvent {}
}
