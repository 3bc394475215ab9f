package org.geraniumproxy.core.pool;

/** An input of a {@link PoolState}. */
public sealed interface PoolEvent {
    /**
     * A slot was requested.
     *
     * @param request the slot request
     */
    record SlotRequested(SlotRequest request) implements PoolEvent {}

    /**
     * A slot was released.
     *
     * @param slotRequestId id of the slot request
     */
    record SlotReleased(long slotRequestId) implements PoolEvent {}

    /**
     * A connection in use was returned.
     *
     * @param reusable whether another request may use the connection
     */
    record ConnectionReturned(boolean reusable) implements PoolEvent {}

    /** A connection was opened. */
    record ConnectionOpened() implements PoolEvent {}

    /** A connection could not be opened. */
    record OpeningFailed() implements PoolEvent {}

    /**
     * Idle connections were lost.
     *
     * @param count number of connections
     */
    record IdleConnectionsLost(int count) implements PoolEvent {}

    /** A scheduled time was reached, or the view changed. */
    record TimePassed() implements PoolEvent {}
}
